package passhatch.lab;

import passhatch.Balancer.Actions;

/** Ignores the actions of a decision module, except that it keeps the server of the latest send. */
class NoOpActions implements Actions {

    /** The id of the server of the latest send; null before the first. */
    String lastServer;

    @Override
    public void send(String request, String server, long timeoutUs) {
        lastServer = server;
    }

    @Override
    public void refuse(String request, long retryAfterUs) { }

    @Override
    public void fail(String request) { }

    @Override
    public void cancel(String request, int attempt) { }

    @Override
    public void probe(String server) { }

    @Override
    public void wakeAt(long atUs) { }

    @Override
    public void watchServers() { }

    @Override
    public void log(String text) { }
}
