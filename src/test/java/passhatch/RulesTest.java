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

/** Random events, of fixed seeds, against the rules that each copy keeps alone. */
class RulesTest {

    private static final long MS = FakeProxy.MS;
    private static final int SERVERS = 8;
    private static final int ZONE_RESTRICTED = 4;
    private static final int STEPS = 3_000;
    /** A client waits this long, and a step of time is at most that. */
    private static final long CLIENT_TIMEOUT_MS = 1_000;
    private static final int MAX_STEP_MS = 40;

    /** One attempt as the test saw it sent. */
    private record SentAttempt(String request, int number, String server, long sentAtUs) { }

    /** A run: what was sent and ended, with the rules checked at every new action. */
    private static final class RandomRun {
        final Random random;
        final FakeProxy proxy;
        final boolean[] up = new boolean[SERVERS];
        final boolean[] draining = new boolean[SERVERS];
        final Map<String, Integer> classByRequest = new HashMap<>();
        final Map<String, Long> startUsByRequest = new HashMap<>();
        final Map<String, Integer> finalResponses = new HashMap<>();
        /** The attempts of each request that may have run. */
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
            setup.extraClasses = List.of(new RequestClass("bound", 400 * MS, 1_000 * MS, 2, 0, Effect.SAFE,
                    DedupScope.ALL, 0, Set.of(1), null));
            proxy = new FakeProxy(setup, seed);
            List<Server> list = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                up[i] = true;
                list.add(server(i, ServerStatus.UP));
            }
            proxy.logic.serversChanged(proxy.nowUs, ListKind.CACHED, list);
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
                // The id is known before the actions that the request brings about are checked.
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
            proxy.logic.serversChanged(proxy.nowUs, ListKind.CHANGES, List.of(server(index, status)));
            assertEquals(draining[index],
                    proxy.actions.subList(actionsBefore, proxy.actions.size()).contains("close s" + index));
        }

        private void endAttempt(SentAttempt attempt, Outcome outcome) {
            inFlight.remove(attempt);
            boolean requestEnded = finalResponses.containsKey(attempt.request) || outcome == Outcome.OK;
            if (outcome == Outcome.OK) {
                // The answer of the other copy is dropped where one has served already.
                finalResponses.putIfAbsent(attempt.request, 1);
            }
            if (!outcome.provesNotRun) {
                possiblyRun.computeIfAbsent(attempt.request, r -> new ArrayList<>()).add(attempt);
            }
            int actionsBefore = proxy.actions.size();
            proxy.logic.outcome(proxy.nowUs, attempt.request, attempt.number, attempt.server, outcome,
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
                        "no answer: " + start.getKey());
            }
        }

        /** Checks the actions since the last time. */
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
                                "refused, may have run");
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
            assertFalse(finalResponses.containsKey(request), "after its final answer: " + request);
        }

        private void checkSend(String request, String server) {
            checkNotEnded(request);
            assertTrue(up[Integer.parseInt(server.substring(1))], "sent to one that drains or is gone");
            int requestClass = classByRequest.get(request);
            assertTrue(requestClass != ZONE_RESTRICTED || zone(server) == 1, "outside its zones");
            // One still out may run: a copy beside it keeps to the same rules.
            List<SentAttempt> earlier = new ArrayList<>(possiblyRun.getOrDefault(request, List.of()));
            inFlight.stream().filter(s -> s.request.equals(request)).forEach(earlier::add);
            for (SentAttempt earlierAttempt : earlier) {
                assertTrue(requestClass != FakeProxy.UNSAFE, "an unsafe one again");
                assertTrue(requestClass != FakeProxy.KEYED_IN_ZONE
                        || zone(server) == zone(earlierAttempt.server), "other group");
                boolean keyed = requestClass == FakeProxy.KEYED || requestClass == FakeProxy.KEYED_IN_ZONE;
                assertTrue(!keyed || proxy.nowUs - earlierAttempt.sentAtUs < 600 * MS, "after its window");
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
            assertTrue(run.finalResponses.values().stream().allMatch(n -> n == 1), "answered twice");
            assertTrue(run.sendCount > 500 && run.repeatCount > 10,
                    run.sendCount + " sends, " + run.repeatCount + " again");
        }
    }

    @Test
    void equalEventsGiveEqualActions() {
        for (long seed = 0; seed < 5; seed++) {
            assertEquals(run(seed).proxy.actions, run(seed).proxy.actions);
        }
    }
}
