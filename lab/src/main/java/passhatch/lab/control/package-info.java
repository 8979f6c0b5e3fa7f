/** What the control path costs: discovery, its watches, and lists and changes at the proxies. */
package passhatch.lab.control;
