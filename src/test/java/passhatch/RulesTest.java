package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * Runs one instance of the module with random events of fixed seeds. Guards against actions that break a rule
 * which holds for each replica alone: no request sent to a server that is draining, gone or outside its
 * zones, no forbidden repeat, no false refusal, and exactly one final response in time.
 */
class RulesTest {

    private static final long MS = FakeProxy.MS;
    private static final int SERVERS = 8;
    /** Index of a class that is restricted to zone 1. */
    private static final int ZONE_RESTRICTED = 4;
    /** Random steps of a run. */
    private static final int STEPS = 3_000;
    /** How long a client waits, in milliseconds. */
    private static final long CLIENT_TIMEOUT_MS = 1_000;
    /** The longest time that passes in one step, in milliseconds. */
    private static final int MAX_STEP_MS = 40;

    /** An attempt that the module asked to send. */
    private record SentAttempt(String request, int number, String server, long sentAtUs) { }

    /** One random run: records attempts and final responses, and checks the rules at each new action. */
    private static final class RandomRun {
        final Random random;
        final FakeProxy proxy;
        final boolean[] up = new boolean[SERVERS];
        final boolean[] draining = new boolean[SERVERS];
        final Map<String, Integer> classByRequest = new HashMap<>();
        final Map<String, Long> startUsByRequest = new HashMap<>();
        final Map<String, Integer> finalResponses = new HashMap<>();
        /** The ended attempts of each request that may have run. */
        final Map<String, List<SentAttempt>> possiblyRun = new HashMap<>();
        final Map<String, Integer> attemptCounts = new HashMap<>();
        final List<SentAttempt> inFlight = new ArrayList<>();
        int checkedActions;
        int sendCount;
        int repeatCount;

        RandomRun(long seed) {
            random = new Random(seed);
            FakeProxy.Setup setup = new FakeProxy.Setup();
            setup.closeWithinUs = 500 * MS;
            setup.keepaliveUs = 10_000 * MS;
            setup.probes = random.nextBoolean();
            setup.maxRetryAfterUs = random.nextBoolean() ? 1_000 * MS : 0;
            setup.extraClasses = List.of(new RequestClass("zone 1 only", 400 * MS, 1_000 * MS, 2, 0,
                    Effect.SAFE, DedupScope.ALL, 0, Set.of(1), null));
            proxy = new FakeProxy(setup, seed);
            List<Server> list = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                up[i] = true;
                list.add(server(i, ServerStatus.UP));
            }
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.CACHED, list);
        }

        private static Server server(int index, ServerStatus status) {
            return new Server("s" + index, 0, zone("s" + index), 0, status);
        }

        private static int zone(String id) {
            return Integer.parseInt(id.substring(1)) % 2;
        }

        void step() {
            int choice = random.nextInt(10);
            if (choice < 4) {
                int requestClass = random.nextInt(ZONE_RESTRICTED + 1);
                // Recorded before the request is made, as its actions are checked against these.
                String request = "r" + classByRequest.size();
                classByRequest.put(request, requestClass);
                startUsByRequest.put(request, proxy.nowUs);
                assertEquals(request, proxy.request(requestClass));
            } else if (choice < 8 && !inFlight.isEmpty()) {
                endAttempt(inFlight.get(random.nextInt(inFlight.size())),
                        Outcome.values()[random.nextInt(6)]);
            } else if (choice == 8) {
                changeServer();
            } else {
                proxy.reportIdle();
                advanceTime(1 + random.nextInt(MAX_STEP_MS));
            }
            checkNewActions();
        }

        private void changeServer() {
            int index = random.nextInt(SERVERS);
            ServerStatus[] statuses = ServerStatus.values();
            ServerStatus status = random.nextInt(3) > 0 ? ServerStatus.UP
                    : statuses[random.nextInt(statuses.length)];
            up[index] = status == ServerStatus.UP;
            draining[index] = status == ServerStatus.DRAINING;
            int actionsBefore = proxy.actions.size();
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.CHANGES, List.of(server(index, status)));
            assertEquals(draining[index],
                    proxy.actions.subList(actionsBefore, proxy.actions.size()).contains("close s" + index));
        }

        private void endAttempt(SentAttempt attempt, Outcome outcome) {
            inFlight.remove(attempt);
            boolean requestEnded = finalResponses.containsKey(attempt.request) || outcome == Outcome.OK;
            if (outcome == Outcome.OK) {
                // Of two hedged attempts that succeed, only the first gives the response.
                finalResponses.putIfAbsent(attempt.request, 1);
            }
            if (!outcome.provesNotRun) {
                possiblyRun.computeIfAbsent(attempt.request, r -> new ArrayList<>()).add(attempt);
            }
            int actionsBefore = proxy.actions.size();
            proxy.balancer.outcome(proxy.nowUs, attempt.request, attempt.number, attempt.server, outcome,
                    proxy.nowUs - attempt.sentAtUs, requestEnded, null);
            if (draining[Integer.parseInt(attempt.server.substring(1))]) {
                assertTrue(proxy.actions.subList(actionsBefore, proxy.actions.size())
                        .contains("close " + attempt.server));
            }
        }

        void advanceTime(int ms) {
            proxy.advanceTime(ms);
            checkNewActions();
            for (SentAttempt attempt : List.copyOf(inFlight)) {
                if (proxy.nowUs >= startUsByRequest.get(attempt.request) + CLIENT_TIMEOUT_MS * MS) {
                    endAttempt(attempt, Outcome.TIMEOUT);
                }
            }
            checkNewActions();
            for (Map.Entry<String, Long> start : startUsByRequest.entrySet()) {
                boolean responseDue = proxy.nowUs > start.getValue() + (CLIENT_TIMEOUT_MS + MAX_STEP_MS) * MS;
                assertTrue(!responseDue || finalResponses.getOrDefault(start.getKey(), 0) == 1,
                        "no final response in time: " + start.getKey());
            }
        }

        /** Checks the actions since the last check. */
        private void checkNewActions() {
            while (checkedActions < proxy.actions.size()) {
                String[] words = proxy.actions.get(checkedActions++).split(" ");
                switch (words[0]) {
                    case "send" -> checkSend(words[1], words[2]);
                    case "refuse" -> {
                        checkNotEnded(words[1]);
                        boolean keyed = classByRequest.get(words[1]) == FakeProxy.KEYED;
                        boolean safe = classByRequest.get(words[1]) == FakeProxy.SAFE
                                || classByRequest.get(words[1]) == ZONE_RESTRICTED;
                        assertTrue(safe || keyed || !possiblyRun.containsKey(words[1]),
                                "refused although an attempt may have run");
                        finalResponses.merge(words[1], 1, Integer::sum);
                    }
                    case "fail" -> {
                        checkNotEnded(words[1]);
                        finalResponses.merge(words[1], 1, Integer::sum);
                    }
                    default -> { }
                }
            }
        }

        private void checkNotEnded(String request) {
            assertFalse(finalResponses.containsKey(request), "action after the final response: " + request);
        }

        private void checkSend(String request, String server) {
            checkNotEnded(request);
            assertTrue(up[Integer.parseInt(server.substring(1))],
                    "sent to a server that is draining or gone");
            int requestClass = classByRequest.get(request);
            assertTrue(requestClass != ZONE_RESTRICTED || zone(server) == 1,
                    "sent to a server outside the allowed zones");
            // Attempts still in flight may run as well, so hedged attempts must comply with the same rules.
            List<SentAttempt> earlier = new ArrayList<>(possiblyRun.getOrDefault(request, List.of()));
            inFlight.stream().filter(s -> s.request.equals(request)).forEach(earlier::add);
            for (SentAttempt earlierAttempt : earlier) {
                assertTrue(requestClass != FakeProxy.UNSAFE,
                        "unsafe request repeated although an attempt may have run");
                assertTrue(requestClass != FakeProxy.KEYED_IN_ZONE
                        || zone(server) == zone(earlierAttempt.server),
                        "keyed request repeated outside its deduplication scope");
                boolean keyed = requestClass == FakeProxy.KEYED || requestClass == FakeProxy.KEYED_IN_ZONE;
                assertTrue(!keyed || proxy.nowUs - earlierAttempt.sentAtUs < 600 * MS,
                        "keyed request repeated after its deduplication window");
                repeatCount++;
            }
            int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
            inFlight.add(new SentAttempt(request, number, server, proxy.nowUs));
            sendCount++;
        }
    }

    private static RandomRun run(long seed) {
        RandomRun run = new RandomRun(seed);
        for (int i = 0; i < STEPS; i++) {
            run.step();
        }
        for (int i = 0; i < 2 * CLIENT_TIMEOUT_MS / MAX_STEP_MS; i++) {
            run.advanceTime(MAX_STEP_MS);
        }
        return run;
    }

    @Test
    void randomEventsBreakNoRule() {
        for (long seed = 0; seed < 20; seed++) {
            RandomRun run = run(seed);
            assertEquals(run.classByRequest.size(), run.finalResponses.size());
            assertTrue(run.finalResponses.values().stream().allMatch(n -> n == 1),
                    "a request had more than one final response");
            assertTrue(run.sendCount > 500 && run.repeatCount > 10,
                    run.sendCount + " attempts, " + run.repeatCount + " repeats");
        }
    }

    @Test
    void equalEventsGiveEqualActions() {
        for (long seed = 0; seed < 5; seed++) {
            assertEquals(run(seed).proxy.actions, run(seed).proxy.actions);
        }
    }
}
