/**
 * Clients and servers that hold memory, time or processor time of a deployed proxy, and what callers that
 * behave get beside them.
 */
package passhatch.lab.pressure;
