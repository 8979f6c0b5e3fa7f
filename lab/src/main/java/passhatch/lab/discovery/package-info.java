/** A stand-in for the discovery service on loopback addresses, for tests, benchmarks and fault soaks. */
package passhatch.lab.discovery;
