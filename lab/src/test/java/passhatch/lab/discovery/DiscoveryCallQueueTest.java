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

/** Service order, waits and rejections of the call queue, on a clock that the test controls. */
final class DiscoveryCallQueueTest {

    private final MockTicker ticker = Ticker.newMockTicker();
    private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
    private final List<String> events = new ArrayList<>();
    private final Set<String> disconnected = new HashSet<>();

    private DiscoveryCallQueue createQueue(int maxQueueLength) {
        return new DiscoveryCallQueue(channel.eventLoop(), ticker::nanoTime,
                new CallCosts(Duration.ofMillis(10),
                Duration.ofMillis(1), Duration.ofMillis(25), maxQueueLength));
    }

    private DiscoveryCallQueue.Call createCall(String name, int lines) {
        return new DiscoveryCallQueue.Call() {
            @Override
            public int responseLines() {
                return lines;
            }

            @Override
            public boolean isDisconnected() {
                return disconnected.contains(name);
            }

            @Override
            public void serve(long waitedNs) {
                events.add(name + " after " + waitedNs / 1_000_000);
            }

            @Override
            public void reject() {
                events.add(name + " turned away");
            }
        };
    }

    private void advanceClock(int ms) {
        for (int i = 0; i < ms; i++) {
            ticker.advance(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    @Test
    void aCallWaitsForEarlierCallsAndItsOwnServiceTime() {
        DiscoveryCallQueue queue = createQueue(10);
        queue.add(createCall("a", 0));
        queue.add(createCall("b", 5));
        assertEquals(1, queue.length());
        advanceClock(24);
        assertEquals(List.of("a after 10"), events);
        advanceClock(1);
        queue.add(createCall("c", 0));
        advanceClock(10);
        assertEquals(List.of("a after 10", "b after 25", "c after 10"), events);
    }

    @Test
    void aCallIsRejectedAfterTheMaximumWaitOrWhenTheQueueIsFull() {
        DiscoveryCallQueue queue = createQueue(2);
        for (String name : List.of("a", "b", "c", "d")) {
            queue.add(createCall(name, 10));
        }
        assertEquals(List.of("d turned away"), events);
        advanceClock(25);
        assertEquals(List.of("d turned away", "a after 20", "c turned away"), events);
        advanceClock(15);
        assertEquals("b after 40", events.get(3));
    }

    @Test
    void aDisconnectedCallTakesNoServiceTime() {
        DiscoveryCallQueue queue = createQueue(10);
        queue.add(createCall("a", 0));
        queue.add(createCall("b", 0));
        queue.add(createCall("c", 0));
        disconnected.add("b");
        advanceClock(20);
        assertEquals(List.of("a after 10", "c after 20"), events);
    }

    /** A timer that runs late must not delay the calls queued behind. */
    @Test
    void aLateTimerDoesNotDelayLaterCalls() {
        DiscoveryCallQueue queue = createQueue(10);
        queue.add(createCall("a", 0));
        queue.add(createCall("b", 0));
        ticker.advance(19, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        advanceClock(1);
        assertEquals(List.of("a after 19", "b after 20"), events);
    }
}
