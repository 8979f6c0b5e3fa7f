/**
 * A randomized fault soak: real proxy processes between stand-in clients, backends and discovery on
 * loopback, faults that overlap in time, and the protocol's rules as the oracle. A seed decides the plan.
 */
package passhatch.lab.soak;
