package passhatch.proxy;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Outcome;
import passhatch.proxy.BackendPool.Handle;
import passhatch.proxy.BackendPool.ResponseSink;

/** A request, from when it is accepted to the end of its last attempt. */
final class Exchange {
    final ProxyRequest request;
    final ProxyLoop.Responder responder;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** When its final response is due here, some time before its client's time-out. */
    long deadlineUs;
    /** Whether its body has not been received completely. */
    boolean incomplete;
    Future<?> fallbackTimer;
    /** Whether it needs no response any more; with a streamed response, whether that has ended. */
    boolean responded;
    /** The attempt whose response is streamed to the client, or null. */
    Attempt streamedAttempt;
    long streamStartedAtUs;
    ResponseSink sink;
    /** Whether its id is claimed, so that no other request with it may run. */
    boolean idClaimed;

    Exchange(ProxyRequest request, ProxyLoop.Responder responder, long deadlineUs) {
        this.request = request;
        this.responder = responder;
        this.deadlineUs = deadlineUs;
    }

    /** Servers and outcomes of its attempts so far, as the end of a log line. */
    String describeAttempts() {
        StringBuilder text = new StringBuilder(" after");
        for (Attempt attempt : attempts) {
            text.append(' ').append(attempt.server).append('=')
                    .append(attempt.outcome == null ? "OUT" : attempt.outcome);
        }
        return attempts.isEmpty() ? " before any attempt" : text.toString();
    }

    /** Whether its response is being streamed, and its attempt has not ended. */
    boolean isStreaming() {
        return streamedAttempt != null && streamedAttempt.outcome == null;
    }

    /** Whether any attempt may have run, as far as the outcomes prove. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> a.outcome == null || !a.outcome.provesNotRun);
    }

    /** Whether any other attempt than this may have run, as far as the outcomes prove. */
    boolean othersMayHaveRun(Attempt attempt) {
        return attempts.stream().anyMatch(a -> a != attempt
                && (a.outcome == null || !a.outcome.provesNotRun));
    }

    /** Whether any other attempt than this has not ended. */
    boolean hasOthersInFlight(Attempt attempt) {
        return attempts.stream().anyMatch(a -> a != attempt && a.outcome == null);
    }

    /** Whether a server has got all of it, and has not proved that it did not run it. */
    boolean hasReachedServer() {
        return attempts.stream().anyMatch(a -> a.written && (a.outcome == null || !a.outcome.provesNotRun));
    }

    /** An attempt of a request. */
    static final class Attempt {
        final int number;
        final String server;
        /** When it was sent, or when the last byte of the request arrived if that was later. */
        long sentAtUs;
        /** Null if it was never sent, and once it has ended. */
        Handle handle;
        /** Null while it is in flight. */
        Outcome outcome;
        /** Whether its last byte has been written. */
        boolean written;
        /** Whether it was not written because nobody could tell whether its client is connected. */
        boolean deferred;
        /** Whether it is not wanted any more. */
        boolean cancelled;

        Attempt(int number, String server, long sentAtUs) {
            this.number = number;
            this.server = server;
            this.sentAtUs = sentAtUs;
        }

        /** Ends it as cancelled, at the latest when it would be given to the pool again. */
        void cancel() {
            cancelled = true;
            if (handle != null) {
                handle.cancel();
            }
        }

        /** Notes its outcome. There is nothing to control any more. */
        void end(Outcome finalOutcome) {
            outcome = finalOutcome;
            handle = null;
        }
    }
}
