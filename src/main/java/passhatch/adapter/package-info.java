/**
 * The command line, and the adapter that runs the decision module in a simulator: JSON batches of messages on
 * standard input, JSON batches of actions on standard output. No decision is made here.
 */
package passhatch.adapter;
