package passhatch.lab.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Calls one after another, on a clock that only the test moves. */
final class CallQueueTest {

    private final MockTicker ticker = Ticker.newMockTicker();
    private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
    private final List<String> done = new ArrayList<>();
    private final Set<String> gone = new HashSet<>();

    private CallQueue queue(int longestQueue) {
        return new CallQueue(channel.eventLoop(), ticker::nanoTime, new CallCosts(Duration.ofMillis(10),
                Duration.ofMillis(1), Duration.ofMillis(25), longestQueue));
    }

    private CallQueue.Call call(String name, int lines) {
        return new CallQueue.Call() {
            @Override
            public int lines() {
                return lines;
            }

            @Override
            public boolean isGone() {
                return gone.contains(name);
            }

            @Override
            public void serve(long waitedNs) {
                done.add(name + " after " + waitedNs / 1_000_000);
            }

            @Override
            public void turnAway() {
                done.add(name + " turned away");
            }
        };
    }

    private void pass(int ms) {
        for (int i = 0; i < ms; i++) {
            ticker.advance(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    @Test
    void eachWaitsForThoseBeforeAndItsOwnTime() {
        CallQueue queue = queue(10);
        queue.add(call("a", 0));
        queue.add(call("b", 5));
        assertEquals(1, queue.length());
        pass(24);
        assertEquals(List.of("a after 10"), done);
        pass(1);
        queue.add(call("c", 0));
        pass(10);
        assertEquals(List.of("a after 10", "b after 25", "c after 10"), done);
    }

    @Test
    void oneThatWaitsTooLongOrFindsTheQueueFullIsTurnedAway() {
        CallQueue queue = queue(2);
        for (String name : List.of("a", "b", "c", "d")) {
            queue.add(call(name, 10));
        }
        assertEquals(List.of("d turned away"), done);
        pass(25);
        assertEquals(List.of("d turned away", "a after 20", "c turned away"), done);
        pass(15);
        assertEquals("b after 40", done.get(3));
    }

    @Test
    void oneWhoseCallerHasGoneCostsNothing() {
        CallQueue queue = queue(10);
        queue.add(call("a", 0));
        queue.add(call("b", 0));
        queue.add(call("c", 0));
        gone.add("b");
        pass(20);
        assertEquals(List.of("a after 10", "c after 20"), done);
    }

    /** A timer rings late; the calls behind must not pay for it. */
    @Test
    void aLateTimerDelaysNoCallBehind() {
        CallQueue queue = queue(10);
        queue.add(call("a", 0));
        queue.add(call("b", 0));
        ticker.advance(19, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        pass(1);
        assertEquals(List.of("a after 19", "b after 20"), done);
    }
}
