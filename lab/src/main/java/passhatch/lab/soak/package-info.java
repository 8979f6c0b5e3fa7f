/**
 * A randomized fault soak: real proxy processes between stub clients, backends and discovery on loopback,
 * with faults that overlap in time. The rules of the protocol are the oracle; a seed decides the plan of
 * faults.
 */
package passhatch.lab.soak;
