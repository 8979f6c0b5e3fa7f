/**
 * Measures the costs of the control path: discovery, its watches, and the lists and changes at the proxies.
 */
package passhatch.lab.control;
