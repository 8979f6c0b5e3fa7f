package passhatch.lab;

import passhatch.Balancer.Actions;

/** Takes a module's actions and does nothing but keep the server of the latest send. */
class NoOpActions implements Actions {

    /** Where the latest send went. */
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
