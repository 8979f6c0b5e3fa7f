/** The HTTP proxy, which runs the decision module on sockets. One event-loop thread owns its state. */
package passhatch.proxy;
