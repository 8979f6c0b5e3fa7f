/**
 * The decision module: decides which server gets each request, when to retry or hedge, and when to refuse.
 * Its interface is {@link passhatch.Balancer}, its implementation {@link passhatch.Logic}.
 */
package passhatch;
