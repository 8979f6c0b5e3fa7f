/**
 * Measures the latency that the proxy adds to a call, with an open-loop load, stub backends and a deployed
 * proxy.
 */
package passhatch.lab.latency;
