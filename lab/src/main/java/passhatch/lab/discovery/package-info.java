/** A stand-in for the discovery service, for tests, measurements and emulations on loopback addresses. */
package passhatch.lab.discovery;
