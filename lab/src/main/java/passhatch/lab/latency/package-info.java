/** What the proxy adds to a call: an open-loop load, stand-in backends, and a proxy as it runs in service. */
package passhatch.lab.latency;
