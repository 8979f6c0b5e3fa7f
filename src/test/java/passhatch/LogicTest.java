package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * Tests of the decision module on its own. {@link Proxy} stands in for the network: it reports events to the
 * module, records the actions that the module requests, and advances virtual time only when a test does.
 */
class LogicTest {

    private static final long MS = Proxy.MS;

    private static Proxy.Setup setup() {
        return new Proxy.Setup();
    }

    /** The choice among servers that are all healthy. */
    @Nested
    class ServerSelection {

        @Test
        void takesIdleServersBeforeBusyOnes() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            Set<String> taken = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                taken.add(proxy.at(proxy.request(Proxy.SAFE)));
            }
            assertEquals(Set.of("a", "b", "c"), taken);
        }

        @Test
        void takesTheServerWithFewestInFlightWhenNoneIsIdle() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            String first = proxy.request(Proxy.SAFE);
            proxy.request(Proxy.SAFE);
            proxy.request(Proxy.SAFE);
            proxy.request(Proxy.SAFE);
            proxy.end(first, Outcome.OK);
            String freedServer = proxy.at(first);
            assertEquals(freedServer, proxy.at(proxy.request(Proxy.SAFE)));
        }

        @Test
        void takesTheLeastRecentlyAssignedIdleServer() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            String[] firstRound = {proxy.serve(), proxy.serve(), proxy.serve()};
            for (String server : firstRound) {
                assertEquals(server, proxy.serve());
            }
        }

        @Test
        void eachReplicaTakesUnusedServersInItsOwnOrder() {
            Set<List<String>> orders = new HashSet<>();
            for (int seed = 0; seed < 20; seed++) {
                Proxy proxy = new Proxy(setup(), seed).with("a", "b", "c");
                orders.add(List.of(proxy.serve(), proxy.serve(), proxy.serve()));
            }
            assertTrue(orders.size() > 2, "orders seen: " + orders);
        }

        @Test
        void givesASlowServerFewerRequests() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            Map<String, Integer> requestsByServer = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String request = proxy.request(Proxy.SAFE);
                String server = proxy.at(request);
                requestsByServer.merge(server, 1, Integer::sum);
                proxy.pass(100);
                proxy.logic.outcome(proxy.now, request, 0, server, Outcome.OK,
                        server.equals("a") ? 100 * MS : 50 * MS,
                        true, null);
            }
            assertTrue(requestsByServer.get("a") * 1.4 < requestsByServer.get("b"),
                    "requests by server: " + requestsByServer);
        }

        @Test
        void sameEventsGiveTheSameActionsWhateverAnotherInstanceDoes() {
            Proxy expected = new Proxy(setup(), 3).with("a", "b", "c");
            Proxy actual = new Proxy(setup(), 3).with("a", "b", "c");
            Proxy otherInstance = new Proxy(setup(), 4).with("a", "b", "c");
            for (int i = 0; i < 50; i++) {
                expected.serve();
                otherInstance.request(Proxy.UNSAFE);
                actual.serve();
            }
            assertEquals(expected.done, actual.done);
        }
    }

    /** Failing servers are degraded, then ejected; calls are queued while no server is available. */
    @Nested
    class Ejection {

        @Test
        void aServerThatFailedOnceIsTakenOnlyWhenAllOthersAreBusy() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            for (int i = 0; i < 3; i++) {
                proxy.serve();
            }
            String request = proxy.request(Proxy.SAFE);
            String failedServer = proxy.at(request);
            proxy.end(request, Outcome.CONNECT_FAILED);
            proxy.end(request, Outcome.OK);
            proxy.pass(1);
            assertNotEquals(failedServer, proxy.at(proxy.request(Proxy.SAFE)));
            proxy.pass(1);
            assertNotEquals(failedServer, proxy.at(proxy.request(Proxy.SAFE)));
            proxy.pass(1);
            assertEquals(failedServer, proxy.at(proxy.request(Proxy.SAFE)));
        }

        @Test
        void isEjectedAfterConsecutiveFailuresAndReturnsLater() {
            Proxy proxy = new Proxy(setup()).with("a");
            for (int i = 0; i < 2; i++) {
                String request = proxy.request(Proxy.SAFE);
                assertEquals("a", proxy.at(request));
                proxy.end(request, Outcome.CONNECT_FAILED);
                proxy.pass(1_000);
            }
            String queued = proxy.request(Proxy.SAFE);
            assertNull(proxy.at(queued));
            proxy.pass(4_000);
            assertEquals("a", proxy.at(proxy.request(Proxy.SAFE)));
        }

        @Test
        void ejectionsGrowLongerWithEachFurtherFailure() {
            // A server that has no connection left would be overloaded further by frequent attempts.
            Proxy proxy = new Proxy(setup()).with("a");
            long[] ejectionsUs = new long[2];
            for (int i = 0; i < 5; i++) {
                String request = proxy.request(Proxy.SAFE);
                long requestedAtUs = proxy.now;
                while (proxy.at(request) == null) {
                    proxy.pass(100);
                    request = proxy.at(request) == null ? proxy.request(Proxy.SAFE) : request;
                }
                if (i >= 3) {
                    ejectionsUs[i - 3] = proxy.now - requestedAtUs;
                }
                proxy.end(request, Outcome.CONNECT_FAILED);
            }
            assertTrue(ejectionsUs[1] > ejectionsUs[0] * 3 / 2,
                    ejectionsUs[0] + " us of ejection were followed by, in us, " + ejectionsUs[1]);
        }

        @Test
        void requestWaitsWithoutServersAndFailsWhenTimeRunsShort() {
            Proxy proxy = new Proxy(setup()).with();
            String request = proxy.request(Proxy.UNSAFE);
            proxy.pass(2_000);
            assertEquals(List.of("fail " + request),
                    proxy.done.stream().filter(line -> !line.startsWith("log ")).toList());
        }

        @Test
        void sendsAQueuedCallWhenAServerAppears() {
            Proxy proxy = new Proxy(setup()).with();
            String request = proxy.request(Proxy.SAFE);
            proxy.change("a", 0, ServerStatus.UP);
            proxy.pass(390);
            String laterRequest = proxy.request(Proxy.SAFE);
            proxy.pass(390);
            assertTrue("a".equals(proxy.at(request)) || "a".equals(proxy.at(laterRequest)));
        }

        @Test
        void aServerWithFarMoreErrorsThanTheOthersIsEjected() {
            // A server that returns errors at once always looks idle and would attract ever more calls.
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            int errors = 0;
            for (int i = 0; i < 200; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                proxy.pass(20);
                boolean isFaulty = "a".equals(proxy.at(request));
                errors += isFaulty ? 1 : 0;
                proxy.end(request, isFaulty ? Outcome.ERROR : Outcome.OK);
            }
            assertTrue(errors < 12, "calls sent to the server that returns errors: " + errors);
        }

        @Test
        void similarErrorRatesEjectNoServer() {
            // Errors at every server come from a failing tier behind them; ejecting servers would only remove
            // capacity.
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                assertNotNull(proxy.at(request));
                proxy.pass(20);
                proxy.end(request, Outcome.ERROR);
            }
        }

        @Test
        void similarResetRatesEjectNoServer() {
            // The connections had been established, so the servers are alive. Ejecting all of them would
            // leave calls waiting without any server.
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                assertNotNull(proxy.at(request), "call " + i + " was not sent");
                proxy.pass(20);
                proxy.end(request, i % 10 < 3 ? Outcome.RESET : Outcome.OK);
            }
        }

        /**
         * Where one connection in eight breaks or comes up too late at every server, two consecutive failures
         * at one server occur by chance every few seconds. They must hardly ever eject it.
         */
        @ParameterizedTest
        @CsvSource({"RESET, 0.03", "CONNECT_FAILED, 0.2"})
        void similarConnectionFailureRatesRarelyEjectAServer(Outcome failure, double maxFraction) {
            double fraction = fractionOfRequestsWithAnEjectedServer(1.0 / 8, failure);
            assertTrue(fraction < maxFraction, "fraction of requests with an ejected server: " + fraction);
        }

        /**
         * A server to which most connects fail is degraded as well, so it gets few calls that could show its
         * failure rate; hence the lower bound for {@code CONNECT_FAILED}.
         */
        @ParameterizedTest
        @CsvSource({"RESET, 0.5", "CONNECT_FAILED, 0.25"})
        void aServerThatBreaksMostConnectionsIsEjectedThoughOthersBreakSome(Outcome failure,
                double minFraction) {
            double fraction = fractionOfRequestsWithAnEjectedServer(0.9, failure);
            assertTrue(fraction > minFraction, "fraction of requests with an ejected server: " + fraction);
        }

        /**
         * Returns the fraction of 4,000 requests at which some server was ejected.
         *
         * @param failureRateOfA fraction of the calls to server a that fail; at the others one in eight does
         * @param failure the outcome of calls that fail
         */
        private double fractionOfRequestsWithAnEjectedServer(double failureRateOfA, Outcome failure) {
            Random random = new Random(11);
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            int requestsWithEjection = 0;
            for (int i = 0; i < 4_000; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                proxy.pass(20);
                for (int attempt = 0; attempt < proxy.attempts.getOrDefault(request, 0); attempt++) {
                    double failureRate =
                            "a".equals(proxy.sentTo.get(request).get(attempt)) ? failureRateOfA : 1.0 / 8;
                    proxy.end(request, attempt, random.nextDouble() < failureRate ? failure : Outcome.OK);
                }
                requestsWithEjection += proxy.logic.serverCounts(proxy.now).unavailable() > 0 ? 1 : 0;
            }
            return requestsWithEjection / 4_000.0;
        }

        @Test
        void aServerThatBreaksFarMoreConnectionsThanTheOthersIsEjected() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            int lostCalls = 0;
            for (int i = 0; i < 200; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                proxy.pass(20);
                boolean isFaulty = "a".equals(proxy.at(request));
                lostCalls += isFaulty ? 1 : 0;
                proxy.end(request, isFaulty ? Outcome.RESET : Outcome.OK);
            }
            assertTrue(lostCalls < 12, "calls lost to the faulty server: " + lostCalls);
        }

        @Test
        void aServerThatDoesNotRespondIsEjected() {
            // A hung server keeps its connections and answers probes but no calls: only overdue calls
            // show it.
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            for (int i = 0; i < 8; i++) {
                proxy.serve();
            }
            int lostCalls = 0;
            for (int i = 0; i < 40; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                if ("a".equals(proxy.at(request))) {
                    lostCalls++;
                    proxy.pass(1_000);
                    proxy.end(request, Outcome.TIMEOUT);
                } else {
                    proxy.pass(50);
                    proxy.end(request, Outcome.OK);
                }
            }
            assertTrue(lostCalls <= 3, "calls lost to the faulty server: " + lostCalls);
        }
    }

    /** Each request gets exactly one final response, in time, and nothing is done for it afterwards. */
    @Nested
    class SingleFinalResponse {

        @Test
        void endsARequestBeforeTheDeadlineWhenNoServerIsKnown() {
            Proxy proxy = new Proxy(setup()).with();
            String request = proxy.request(Proxy.SAFE);
            proxy.pass(1_000);
            assertEquals(1, proxy.count("fail " + request) + proxy.count("refuse " + request));
            proxy.change("a", 0, ServerStatus.UP);
            proxy.pass(10_000);
            assertEquals(0, proxy.count("send " + request));
        }

        @Test
        void failsOnceAfterATimeoutAtTheDeadline() {
            Proxy proxy = new Proxy(setup()).with("a");
            String request = proxy.request(Proxy.UNSAFE);
            proxy.pass(1_000);
            proxy.end(request, Outcome.TIMEOUT);
            proxy.pass(1_000);
            assertEquals(1, proxy.count("fail " + request));
            assertEquals(1, proxy.count("send " + request));
        }

        @Test
        void sendsNoFinalResponseOnceTheClientHasGone() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            String request = proxy.request(Proxy.SAFE);
            proxy.logic.clientGone(proxy.now, request);
            proxy.end(request, Outcome.ERROR);
            proxy.pass(2_000);
            assertEquals(0, proxy.count("fail") + proxy.count("refuse"));
            assertEquals(1, proxy.count("send"));
            assertTrue(proxy.did("cancel " + request + " 0"));
        }

        @Test
        void ignoresEventsForEndedOrUnknownRequests() {
            Proxy proxy = new Proxy(setup()).with("a");
            proxy.serve();
            int actionsBefore = proxy.done.size();
            proxy.logic.clientGone(proxy.now, "r0");
            proxy.logic.outcome(proxy.now, "r0", 0, "a", Outcome.OK, 1, true, null);
            proxy.logic.outcome(proxy.now, "unknown", 3, "a", Outcome.ERROR, 1, false, null);
            assertEquals(actionsBefore, proxy.done.size());
        }

        @Test
        void neverSendsARequestThatEndedWhileItWaited() {
            Proxy proxy = new Proxy(setup()).with();
            String request = proxy.request(Proxy.SAFE);
            proxy.logic.clientGone(proxy.now, request);
            proxy.change("a", 0, ServerStatus.UP);
            proxy.pass(2_000);
            assertEquals(0, proxy.count("send"));
        }
    }

    /** No request takes effect twice; retries and attempts are limited. */
    @Nested
    class RetrySafety {

        @Test
        void anUnsafeCallIsSentAgainOnlyWhenItIsKnownNotToHaveRun() {
            for (Outcome outcome : Outcome.values()) {
                if (outcome == Outcome.OK) {
                    continue;
                }
                Proxy proxy = new Proxy(setup()).with("a", "b");
                String request = proxy.request(Proxy.UNSAFE);
                proxy.end(request, outcome);
                assertEquals(outcome.provesNotRun ? 2 : 1, proxy.count("send " + request), outcome.name());
                if (!outcome.provesNotRun) {
                    assertEquals(1, proxy.count("fail " + request), outcome.name());
                    assertEquals(0, proxy.count("refuse " + request), outcome.name());
                }
            }
        }

        @Test
        void anOverdueUnsafeCallIsNotHedged() {
            Proxy.Setup setup = setup();
            Proxy proxy = new Proxy(setup).with("a", "b", "c");
            proxy.serve();
            String request = proxy.request(Proxy.UNSAFE);
            proxy.pass(900);
            assertEquals(1, proxy.count("send " + request));
        }

        /**
         * Without hedging, a call whose first attempt is overdue gets no second one until the first has
         * ended; then it is retried as usual.
         */
        @Test
        void withoutHedgingACallHasOneAttemptInFlightAtATime() {
            for (int requestClass : new int[] {Proxy.SAFE, Proxy.KEYED}) {
                Proxy.Setup setup = setup();
                setup.aimUs = 900 * Proxy.MS;
                setup.secondCopies = false;
                Proxy proxy = new Proxy(setup).with("a", "b", "c");
                proxy.serve();
                String request = proxy.request(requestClass);
                proxy.pass(500);
                assertEquals(1, proxy.count("send " + request));
                proxy.end(request, Outcome.ERROR);
                assertEquals(2, proxy.count("send " + request));
                setup.secondCopies = true;
                proxy = new Proxy(setup).with("a", "b", "c");
                proxy.serve();
                request = proxy.request(requestClass);
                proxy.pass(500);
                assertTrue(proxy.count("send " + request) >= 2,
                        "with hedging, an overdue call gets a second attempt");
            }
        }

        @Test
        void aKeyedCallIsRetriedOnlyInItsDedupZoneAndWindow() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            String request = proxy.request(Proxy.KEYED_IN_ZONE);
            String firstServer = proxy.at(request);
            proxy.end(request, Outcome.ERROR);
            assertEquals("ab".contains(firstServer), "ab".contains(proxy.at(request)));
            assertNotEquals(firstServer, proxy.at(request));
            proxy.end(request, Outcome.ERROR);
            proxy.pass(1_000);
            assertEquals(2, proxy.count("send " + request));
            assertEquals(1, proxy.count("fail " + request));
        }

        @Test
        void aKeyedCallIsNotSentAgainAfterItsDedupWindow() {
            Proxy.Setup setup = setup();
            setup.aimUs = 1_000 * MS;
            Proxy proxy = new Proxy(setup).with("a", "b");
            String request = proxy.request(Proxy.KEYED);
            proxy.pass(601);
            proxy.end(request, Outcome.ERROR);
            assertEquals(1, proxy.count("send " + request));
        }

        @Test
        void retriesAreBudgeted() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.request(Proxy.SAFE);
                while (proxy.count("fail " + request) + proxy.count("refuse " + request) == 0) {
                    proxy.end(request, Outcome.ERROR);
                }
                proxy.pass(20);
            }
            assertTrue(proxy.count("send") <= 100 + 5 + 10,
                    "attempts sent for 100 requests: " + proxy.count("send"));
        }

        @Test
        void attemptsAreLimited() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d", "e", "f");
            String request = proxy.request(Proxy.SAFE);
            while (proxy.count("fail " + request) + proxy.count("refuse " + request) == 0) {
                proxy.end(request, Outcome.FULL);
            }
            assertEquals(4, proxy.count("send " + request));
        }
    }

    /** A class restricted to zones or machine types is never sent to any other server. */
    @Nested
    class Placement {

        /** Index of the restricted class, which follows the four usual classes. */
        private static final int RESTRICTED_CLASS = 4;

        /**
         * Returns a proxy with servers a and b in zone 0, c and d in zone 1; a and c are of machine type 0,
         * b and d of type 1. A null restriction allows all zones or machine types.
         */
        private Proxy proxyWithRestrictedClass(Set<Integer> allowedZones, Set<Integer> allowedMachineTypes) {
            Proxy.Setup setup = setup();
            setup.more = List.of(new RequestClass("restricted", 400 * MS, 1_000 * MS, 1, 0, Effect.SAFE,
                    DedupScope.ALL, 0, allowedZones, allowedMachineTypes));
            Proxy proxy = new Proxy(setup);
            proxy.logic.serversChanged(proxy.now, ListKind.CACHED, List.of(
                    new Server("a", 0, 0, 0, ServerStatus.UP, 0), new Server("b", 0, 0, 0,
                            ServerStatus.UP, 1),
                    new Server("c", 0, 1, 0, ServerStatus.UP, 0), new Server("d", 0, 1, 0,
                            ServerStatus.UP, 1)));
            return proxy;
        }

        @Test
        void aRestrictedClassUsesOnlyAllowedServersAtEveryAttempt() {
            Proxy proxy = proxyWithRestrictedClass(null, Set.of(1));
            for (int i = 0; i < 30; i++) {
                String request = proxy.request(RESTRICTED_CLASS);
                if (proxy.at(request) != null) {
                    proxy.end(request, i % 2 == 0 ? Outcome.CONNECT_FAILED : Outcome.FULL);
                }
                proxy.pass(70);
            }
            Set<String> used = new HashSet<>();
            proxy.sentTo.values().forEach(used::addAll);
            assertEquals(Set.of("b", "d"), used);
        }

        @Test
        void zoneAndMachineTypeRestrictionsBothApply() {
            Proxy proxy = proxyWithRestrictedClass(Set.of(1), Set.of(1));
            for (int i = 0; i < 5; i++) {
                assertEquals("d", proxy.at(proxy.request(RESTRICTED_CLASS)));
            }
        }

        @Test
        void waitsWithoutAnAllowedServerAndEndsInTime() {
            for (Set<Integer> allowedMachineTypes : List.of(Set.<Integer>of(), Set.of(7))) {
                Proxy proxy = proxyWithRestrictedClass(null, allowedMachineTypes);
                String request = proxy.request(RESTRICTED_CLASS);
                proxy.pass(1_000);
                assertNull(proxy.at(request));
                assertEquals(1, proxy.count("refuse " + request) + proxy.count("fail " + request));
            }
        }

        @Test
        void aWaitingCallTakesTheFirstAllowedServer() {
            Proxy proxy = proxyWithRestrictedClass(Set.of(3), null);
            String request = proxy.request(RESTRICTED_CLASS);
            proxy.logic.serversChanged(proxy.now, ListKind.CHANGES, List.of(
                    new Server("e", 0, 3, 0, ServerStatus.UP, 0)));
            proxy.pass(300);
            assertEquals("e", proxy.at(request));
        }
    }

    /** Draining servers get nothing new, and the server list of discovery is followed. */
    @Nested
    class DrainingAndDiscovery {

        @Test
        void sendsNothingToADrainingGoneOrMissingServer() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d");
            proxy.change("a", 0, ServerStatus.DRAINING);
            proxy.change("b", 0, ServerStatus.GONE);
            proxy.logic.serversChanged(proxy.now, ListKind.FULL, List.of(
                    new Server("a", 0, 0, 0, ServerStatus.DRAINING), new Server("d", 0, 0, 0,
                            ServerStatus.UP)));
            for (int i = 0; i < 10; i++) {
                assertEquals("d", proxy.at(proxy.request(Proxy.SAFE)));
                proxy.pass(20);
                proxy.end("r" + i, Outcome.OK);
            }
        }

        /** Returns a proxy that must close idle connections to a draining server within 1 s. */
        private Proxy proxyThatClosesIdleConnections() {
            Proxy.Setup setup = setup();
            setup.closeWithinUs = 1_000 * MS;
            return new Proxy(setup).with("a", "b", "c");
        }

        @Test
        void closesIdleConnectionsWhenADrainIsListedAndAfterTheLastOutcome() {
            Proxy proxy = proxyThatClosesIdleConnections();
            List<String> requests =
                    List.of(proxy.request(Proxy.SAFE), proxy.request(Proxy.SAFE), proxy.request(Proxy.SAFE));
            String requestToA = requests.stream().filter(request -> proxy.at(request).equals("a"))
                    .findFirst().orElseThrow();
            proxy.logic.serversChanged(proxy.now, ListKind.CHANGES, List.of(
                    new Server("a", 0, 0, 0, ServerStatus.DRAINING), new Server("b", 0, 0, 0,
                            ServerStatus.DRAINING)));
            assertEquals(List.of(1, 1, 0), List.of(proxy.count("close a"), proxy.count("close b"),
                    proxy.count("close c")));
            proxy.logic.serversChanged(proxy.now, ListKind.FULL, List.of(new Server("c", 0, 0, 0,
                    ServerStatus.UP)));
            proxy.pass(100);
            proxy.end(requestToA, Outcome.OK);
            assertEquals(2, proxy.count("close a"),
                    "idle connections were not closed after the last call ended");
        }

        @Test
        void leavesConnectionsOpenWithoutACloseTimeOrOnceTheServerIsUpAgain() {
            Proxy proxy = new Proxy(setup()).with("a");
            proxy.change("a", 0, ServerStatus.DRAINING);
            assertEquals(0, proxy.count("close"));
            proxy = proxyThatClosesIdleConnections();
            String request = proxy.request(Proxy.SAFE);
            String server = proxy.at(request);
            proxy.change(server, 0, ServerStatus.DRAINING);
            proxy.change(server, 0, ServerStatus.UP);
            proxy.end(request, Outcome.OK);
            assertEquals(1, proxy.count("close"));
        }

        @Test
        void aServerThatLeavesAndReturnsKeepsItsCallsInFlight() {
            Proxy proxy = proxyThatClosesIdleConnections();
            String request = proxy.request(Proxy.SAFE);
            String server = proxy.at(request);
            proxy.change(server, 0, ServerStatus.GONE);
            proxy.change(server, 0, ServerStatus.UP);
            Set<String> taken = new HashSet<>(List.of(proxy.at(proxy.request(Proxy.SAFE)),
                    proxy.at(proxy.request(Proxy.SAFE))));
            assertFalse(taken.contains(server), "taken for idle with a call in flight");
        }

        @Test
        void retriesDiscoveryWithGrowingBackoff() {
            Proxy.Setup setup = setup();
            setup.watch = true;
            Proxy proxy = new Proxy(setup).with("a");
            assertEquals(1, proxy.count("watch"));
            long backoffUs = 0;
            for (int i = 1; i < 6; i++) {
                proxy.logic.discoveryFailed(proxy.now, Balancer.DiscoveryFailure.REFUSED);
                long failedAtUs = proxy.now;
                while (proxy.count("watch") == i) {
                    proxy.pass(10);
                }
                backoffUs = proxy.now - failedAtUs;
                assertTrue(backoffUs < 8_000 * MS,
                        "pause before discovery was called again, in us: " + backoffUs);
            }
            assertTrue(backoffUs > 500 * MS, "pause before discovery was called again, in us: " + backoffUs);
        }

        @Test
        void doesNotWatchDiscoveryWhereListsArePushed() {
            Proxy proxy = new Proxy(setup()).with("a");
            proxy.logic.discoveryFailed(proxy.now, Balancer.DiscoveryFailure.REFUSED);
            assertEquals(0, proxy.count("watch"));
        }
    }

    /** Lists of hundreds of servers, and events that come twice, late or for servers not listed. */
    @Nested
    class LargeServerLists {

        private static final int SERVER_COUNT = 300;

        /** Returns the last of 400 replicas, with 300 servers listed. */
        private Proxy proxyWithManyServers(boolean probes) {
            Proxy.Setup setup = setup();
            setup.copies = 400;
            setup.copy = 399;
            setup.probes = probes;
            return new Proxy(setup).with(serverIds(SERVER_COUNT));
        }

        @Test
        void anEmptyListAndAStartTimeThatGoesBackLeaveTheReplicaUsable() {
            for (boolean probes : new boolean[] {false, true}) {
                Proxy proxy = proxyWithManyServers(probes);
                String inFlight = proxy.request(Proxy.UNSAFE);
                proxy.sayIdle();
                String server = proxy.at(inFlight);
                proxy.logic.serversChanged(proxy.now, ListKind.FULL, List.of());
                String queued = proxy.request(Proxy.SAFE);
                assertNull(proxy.at(queued), "sent to a server that is gone");
                proxy.end(inFlight, Outcome.OK);
                proxy.change(server, proxy.now, ServerStatus.UP);
                proxy.change(server, 0, ServerStatus.UP);
                proxy.sayIdle();
                assertEquals(server, proxy.at(queued),
                        "the queued call was not sent to the only server left");
                proxy.pass(2_000);
            }
        }

        @Test
        void repeatedAndUnknownOutcomesAreIgnored() {
            Proxy proxy = proxyWithManyServers(false);
            String request = proxy.request(Proxy.SAFE);
            proxy.end(request, Outcome.OK);
            int actionsBefore = proxy.done.size();
            proxy.end(request, Outcome.RESET);
            proxy.logic.outcome(proxy.now, "never", 3, "nowhere", Outcome.OK, 1, true, null);
            proxy.logic.probeResult(proxy.now, "nowhere", Outcome.TIMEOUT, 1, null);
            proxy.logic.clientGone(proxy.now, request);
            assertEquals(actionsBefore, proxy.done.size(),
                    "acted on an event for an ended or unknown request");
        }

        @Test
        void aReplicaWhoseWholeSubsetIsGoneUsesOtherServers() {
            Proxy proxy = proxyWithManyServers(false);
            Set<String> subset = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                subset.add(proxy.serve());
            }
            subset.forEach(id -> proxy.change(id, 0, ServerStatus.GONE));
            for (int i = 0; i < 20; i++) {
                String server = proxy.serve();
                assertNotNull(server);
                assertFalse(subset.contains(server), server + " is gone but was sent a request");
            }
        }
    }

    /**
     * Load reports that arrive seconds late send the calls of all replicas to servers that were idle when the
     * reports were made.
     */
    @Nested
    class StaleLoadReports {

        /**
         * Returns a proxy after five calls, each to a server that had reported to be idle and each with this
         * outcome.
         */
        private Proxy proxyAfterCallsToIdleServers(Outcome outcome) {
            Proxy.Setup setup = setup();
            setup.probes = true;
            Proxy proxy = new Proxy(setup).with(serverIds(12));
            for (int i = 0; i < 5; i++) {
                String request = proxy.request(Proxy.UNSAFE);
                proxy.sayIdle();
                proxy.end(request, outcome);
                proxy.sayIdle();
                proxy.pass(1);
            }
            return proxy;
        }

        @Test
        void ignoresLoadReportsForAWhileWhenIdleServersTurnOutFull() {
            Proxy proxy = proxyAfterCallsToIdleServers(Outcome.FULL);
            int probesBefore = proxy.count("probe");
            assertNotNull(proxy.at(proxy.request(Proxy.SAFE)),
                    "the call was not sent at once, without a probe");
            assertEquals(probesBefore, proxy.count("probe"));
            proxy.pass(4_000);
            proxy.request(Proxy.SAFE);
            assertTrue(proxy.count("probe") > probesBefore,
                    "no probe was sent once load reports were trusted again");
        }

        @Test
        void keepsProbingWhileLoadReportsAreAccurate() {
            Proxy proxy = proxyAfterCallsToIdleServers(Outcome.OK);
            int probesBefore = proxy.count("probe");
            proxy.pass(50);
            proxy.request(Proxy.SAFE);
            assertTrue(proxy.count("probe") > probesBefore);
        }
    }

    /**
     * Without probes a replica knows only its own calls: a server that looks idle to it may be overloaded by
     * other replicas.
     */
    @Nested
    class LoadFromOtherReplicas {

        @Test
        void aServerWhoseLastCallsTookTheWholeLatencyGoalIsAvoidedForAWhile() {
            Proxy proxy = new Proxy(setup()).with("a");
            for (int i = 0; i < 3; i++) {
                String request = proxy.request(Proxy.SAFE);
                proxy.pass(390);
                proxy.logic.outcome(proxy.now, request, 0, "a", Outcome.OK, 390 * MS, true, null);
            }
            assertNull(proxy.at(proxy.request(Proxy.SAFE)), "sent to a server that other replicas overload");
            proxy.pass(4_000);
            assertEquals("a", proxy.at(proxy.request(Proxy.SAFE)),
                    "the server was not tried again, so its recovery would go unnoticed");
        }

        /**
         * Returns how many of three simultaneous calls are sent at once, to a single server that first served
         * 20 calls one by one in 20 ms each and then 40 calls in {@code laterLatencyMs} each.
         *
         * @param replicas replicas that send to the server, this one included
         */
        private int sentOfThreeCallsAfter(long laterLatencyMs, int replicas) {
            Proxy.Setup setup = setup();
            setup.copies = replicas;
            setup.aimUs = 900 * MS;
            Proxy proxy = new Proxy(setup).with("a");
            for (int i = 0; i < 60; i++) {
                long latencyMs = i < 20 ? 20 : laterLatencyMs;
                String request = proxy.request(Proxy.SAFE);
                proxy.pass(latencyMs);
                proxy.logic.outcome(proxy.now, request, 0, "a", Outcome.OK, latencyMs * MS, true, null);
            }
            for (int i = 0; i < 3; i++) {
                proxy.request(Proxy.SAFE);
            }
            return proxy.count("send") - 60;
        }

        @Test
        void callsWaitInTheProxyWhileLatencyIsFarAboveTheBaseline() {
            assertEquals(3, sentOfThreeCallsAfter(20, 3),
                    "the latency is at its baseline, so all three are sent");
            assertEquals(2, sentOfThreeCallsAfter(80, 3),
                    "the latency goal would allow all three, but the server is overloaded");
        }

        @Test
        void moreReplicasPerServerMeanFewerCallsFromEachWhileItIsOverloaded() {
            assertEquals(3, sentOfThreeCallsAfter(20, 8));
            assertEquals(1, sentOfThreeCallsAfter(80, 8),
                    "two calls from each of eight replicas would overload the server");
        }
    }

    /** Log lines for the operator. */
    @Nested
    class OperatorLogLines {

        /** Returns the lines that the module logged so far. */
        private List<String> logLines(Proxy proxy) {
            return proxy.done.stream().filter(line -> line.startsWith("log ")).map(line -> line.substring(4))
                    .toList();
        }

        @Test
        void logsWhyAServerIsEjectedAndThatCallsWaitButNotForEachCall() {
            Proxy.Setup setup = setup();
            setup.maxAttempts = 1;
            Proxy proxy = new Proxy(setup).with("a");
            for (int i = 0; i < 2; i++) {
                proxy.end(proxy.request(Proxy.SAFE), Outcome.CONNECT_FAILED);
            }
            assertEquals(List.of("a rests: connections to it fail"), logLines(proxy));
            proxy.request(Proxy.UNSAFE);
            assertEquals(1, logLines(proxy).size(), "at most one line is logged in ten seconds");
            proxy.pass(10_000);
            proxy.logic.serversChanged(proxy.now, ListKind.FULL, List.of());
            proxy.request(Proxy.UNSAFE);
            proxy.request(Proxy.UNSAFE);
            assertEquals(
                    List.of("UNSAFE-ALL waits: every server it may use is too crowded, rests or is cold"),
                    logLines(proxy).subList(1, logLines(proxy).size()));
        }
    }

    /** New connections fail although the servers are alive. */
    @Nested
    class FailingConnections {

        /**
         * Returns the servers used after a connect failure to which this replica had made no connection
         * before.
         */
        private Set<String> unconnectedServersUsedAfterAFailure(long keepaliveUs) {
            Proxy.Setup setup = setup();
            setup.keepaliveUs = keepaliveUs;
            Proxy proxy = new Proxy(setup).with("a", "b", "c", "d", "e", "f");
            Set<String> connected = new HashSet<>(List.of(proxy.serve(), proxy.serve()));
            String request = proxy.request(Proxy.SAFE);
            proxy.end(request, Outcome.CONNECT_FAILED);
            connected.add(proxy.at(request));
            proxy.end(request, Outcome.OK);
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 6; i++) {
                proxy.pass(100);
                used.add(proxy.serve());
            }
            used.removeAll(connected);
            return used;
        }

        @Test
        void afterAConnectFailureCallsKeepToConnectedServers() {
            assertEquals(Set.of(), unconnectedServersUsedAfterAFailure(10_000 * MS));
        }

        @Test
        void connectionsClosedByTheKeepAliveTimeoutDoNotCount() {
            assertTrue(unconnectedServersUsedAfterAFailure(20 * MS).size() > 1);
        }

        @Test
        void aNegativeKeepAliveTimeIsRejectedByName() {
            Proxy.Setup setup = setup();
            setup.keepaliveUs = -1;
            Exception exception = assertThrows(IllegalArgumentException.class, () -> new Proxy(setup));
            assertTrue(exception.getMessage().contains("limits.keepaliveUs"), exception.getMessage());
        }

        @Test
        void afterSomeSuccessesAllServersAreUsedAgain() {
            Proxy.Setup setup = setup();
            setup.keepaliveUs = 10_000 * MS;
            Proxy proxy = new Proxy(setup).with("a", "b", "c", "d");
            String request = proxy.request(Proxy.SAFE);
            proxy.end(request, Outcome.CONNECT_FAILED);
            proxy.end(request, Outcome.OK);
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                used.add(proxy.serve());
            }
            assertEquals(Set.of("a", "b", "c", "d"), used);
        }
    }

    /** Many replicas that do not know of each other's calls use a subset of the servers each. */
    @Nested
    class Subsets {

        private static final int SERVER_COUNT = 60;

        /** Returns the servers that one of 60 replicas uses for 120 calls, with 60 servers listed. */
        private Set<String> usedServers(int replicaIndex, int callsPerConnection, boolean probes) {
            Proxy.Setup setup = setup();
            setup.probes = probes;
            setup.copies = SERVER_COUNT;
            setup.copy = replicaIndex;
            setup.callsPerConnection = callsPerConnection;
            Proxy proxy = new Proxy(setup, replicaIndex).with(serverIds(SERVER_COUNT));
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 2 * SERVER_COUNT; i++) {
                used.add(proxy.serve());
            }
            return used;
        }

        @Test
        void aReplicaUsesASmallSubsetWithoutProbesAndALargerOneWithProbes() {
            assertTrue(usedServers(5, 1, false).size() < SERVER_COUNT / 4,
                    "servers used: " + usedServers(5, 1, false));
            assertTrue(usedServers(5, 100, false).size() < SERVER_COUNT / 4,
                    "the subset must stay small where the calls of other replicas are unknown");
            int usedWithProbes = usedServers(5, 100, true).size();
            assertTrue(usedWithProbes > SERVER_COUNT / 3 && usedWithProbes < SERVER_COUNT / 2,
                    "servers used with probes: " + usedWithProbes);
        }

        @Test
        void serversOfItsOwnZoneComeFirstWhereCrossingZonesHasACost() {
            for (int replicaIndex = 0; replicaIndex < SERVER_COUNT; replicaIndex += 7) {
                Proxy.Setup setup = setup();
                setup.probes = true;
                setup.crossZone = 0.005;
                setup.copies = SERVER_COUNT;
                setup.copy = replicaIndex;
                Proxy proxy = new Proxy(setup, replicaIndex).with(serverIds(SERVER_COUNT));
                Set<String> first = Set.of(proxy.serve(), proxy.serve());
                assertEquals(Set.of(serverIds(SERVER_COUNT)[0], serverIds(SERVER_COUNT)[1]), first,
                        "the first two calls did not go to the two servers of its own zone");
            }
        }

        @Test
        void serversOfOtherZonesTakeCallsWhileItsOwnZoneIsOverloaded() {
            Proxy.Setup setup = setup();
            setup.crossZone = 0.01;
            setup.copies = 100;
            Proxy proxy = new Proxy(setup);
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                servers.add(new Server("s" + i, 0, i < 6 ? 0 : 1, 0, ServerStatus.UP));
            }
            proxy.logic.serversChanged(proxy.now, ListKind.CACHED, servers);
            for (int i = 0; i < 30; i++) {
                assertTrue(Integer.parseInt(proxy.serve().substring(1)) < 6,
                        "sent to another zone while its own was idle");
            }
            Set<String> usedInOtherZone = new HashSet<>();
            for (int i = 0; i < 30; i++) {
                String server = proxy.at(proxy.request(Proxy.SAFE));
                if (server != null && Integer.parseInt(server.substring(1)) >= 6) {
                    usedInOtherZone.add(server);
                }
            }
            assertEquals(4, usedInOtherZone.size(), "servers used in the other zone: " + usedInOtherZone);
        }

        @Test
        void subsetsCoverAllServersEvenly() {
            Map<String, Integer> replicasByServer = new HashMap<>();
            for (int replicaIndex = 0; replicaIndex < SERVER_COUNT; replicaIndex++) {
                usedServers(replicaIndex, 1, false)
                        .forEach(server -> replicasByServer.merge(server, 1, Integer::sum));
            }
            assertEquals(SERVER_COUNT, replicasByServer.size());
            double mean = replicasByServer.values().stream().mapToInt(replicas -> replicas).average()
                    .orElseThrow();
            assertTrue(Collections.max(replicasByServer.values()) <= 1.3 * mean,
                    "replicas by server: " + replicasByServer);
            assertTrue(Collections.min(replicasByServer.values()) >= Math.floor(0.7 * mean),
                    "by server: " + replicasByServer);
        }

        @Test
        void ejectedServersOfTheSubsetAreReplaced() {
            Proxy.Setup setup = setup();
            setup.copies = SERVER_COUNT;
            setup.callsPerConnection = 1;
            Proxy proxy = new Proxy(setup).with(serverIds(SERVER_COUNT));
            Set<String> before = new HashSet<>();
            Set<String> after = new HashSet<>();
            for (int i = 0; i < SERVER_COUNT; i++) {
                before.add(proxy.serve());
            }
            for (int i = 0; i < 10 * before.size(); i++) {
                proxy.pass(10);
                String request = proxy.request(Proxy.SAFE);
                while (before.contains(proxy.at(request)) && !proxy.did("fail " + request)
                        && !proxy.did("refuse " + request)) {
                    proxy.end(request, Outcome.CONNECT_FAILED);
                }
                proxy.end(request, Outcome.OK);
            }
            for (int i = 0; i < 10 * before.size(); i++) {
                after.add(proxy.serve());
            }
            assertEquals(before.size(), after.size(),
                    "not as many other servers replace the subset: " + after);
            after.removeAll(before);
            assertEquals(before.size(), after.size(), "an ejected server of the subset was used");
        }
    }

    /** Returns this many server ids, in the form of an address and port. */
    private static String[] serverIds(int count) {
        String[] ids = new String[count];
        for (int i = 0; i < count; i++) {
            ids[i] = "10.0.0." + i + ":80";
        }
        return ids;
    }

    /**
     * A server that has just started gets a limited share of the calls, which rises while it warms up and
     * holds for all replicas together.
     */
    @Nested
    class SlowStart {

        @Test
        void allReplicasTogetherSendANewServerLessThanItsShare() {
            int callsToNewServer = 0;
            int callsToWarmServers = 0;
            for (int seed = 0; seed < 20; seed++) {
                Proxy proxy = new Proxy(setup(), seed).with("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serve();
                }
                proxy.change("new", proxy.now, ServerStatus.UP);
                for (int i = 0; i < 40; i++) {
                    String server = proxy.serve();
                    callsToNewServer += server.equals("new") ? 1 : 0;
                    callsToWarmServers += server.equals("new") ? 0 : 1;
                }
            }
            assertTrue(callsToNewServer > 0, "a new server got no calls");
            assertTrue(callsToNewServer < 0.6 * callsToWarmServers / 4,
                    callsToNewServer + " calls to the new server, " + callsToWarmServers / 4
                    + " to each warm one");
        }

        @Test
        void replicasDoNotAllSendTheirNextCallToANewServer() {
            int replicasUsingNewServer = 0;
            for (int seed = 0; seed < 40; seed++) {
                Proxy proxy = new Proxy(setup(), seed).with("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serve();
                }
                proxy.change("new", proxy.now, ServerStatus.UP);
                replicasUsingNewServer += "new".equals(proxy.serve()) ? 1 : 0;
            }
            assertTrue(replicasUsingNewServer < 12,
                    replicasUsingNewServer + " of 40 replicas sent their next call to the new server");
        }

        /**
         * Returns how many of 200 replicas, each of which makes a call a second, send one of their next calls
         * to a new server.
         *
         * @param serverAgeMs time since the new server started and was listed
         * @param callsPerReplica number of next calls of each replica to consider
         */
        private int replicasThatUseANewServer(long serverAgeMs, int callsPerReplica) {
            int replicasUsingNewServer = 0;
            for (int replicaIndex = 0; replicaIndex < 200; replicaIndex++) {
                Proxy.Setup setup = setup();
                setup.copies = 200;
                setup.probes = true;
                setup.copy = replicaIndex;
                Proxy proxy = new Proxy(setup, replicaIndex).with(serverIds(20));
                for (int i = 0; i < 30; i++) {
                    proxy.serve();
                    proxy.pass(1_000);
                }
                proxy.change("new", proxy.now, ServerStatus.UP);
                proxy.pass(serverAgeMs);
                boolean usedNewServer = false;
                for (int i = 0; i < callsPerReplica; i++) {
                    usedNewServer |= proxy.serve().equals("new");
                }
                replicasUsingNewServer += usedNewServer ? 1 : 0;
            }
            return replicasUsingNewServer;
        }

        @Test
        void onlySomeReplicasUseANewServerDuringSlowStart() {
            int usingItForNextCall = replicasThatUseANewServer(0, 1);
            assertTrue(usingItForNextCall < 20,
                    usingItForNextCall + " of 200 replicas sent their next call to the new server");
            // The new server starts with a quarter of its capacity. It falls over when sent more than twice
            // that, and all replicas together send it at most half of what would make it fall over.
            int usingItDuringSlowStart = replicasThatUseANewServer(0, 21);
            assertTrue(usingItDuringSlowStart > 20 && usingItDuringSlowStart < 80,
                    usingItDuringSlowStart + " of 200 replicas use the new server at its start");
        }

        @Test
        void allReplicasUseAWarmServerHoweverSeldomTheyCall() {
            // In a full-size fleet one replica takes a minute to use each server once. Waiting for one or two
            // such rounds starved new servers, and a deploy left all work to the last old servers.
            assertEquals(200, replicasThatUseANewServer(8_000, 21));
        }

        @Test
        void aServerRestartedUnderTheSameIdGetsASlowStart() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            proxy.change("a", proxy.now, ServerStatus.UP);
            int calls = 0;
            for (int i = 0; i < 10; i++) {
                calls += proxy.serve().equals("a") ? 1 : 0;
            }
            assertTrue(calls <= 4, "calls to the restarted server: " + calls);
        }
    }

    /** Probes for load, and which calls are sent, queued or refused under overload. */
    @Nested
    class ProbingAndOverload {

        /** Returns a setup in which servers may be probed for their load. */
        private Proxy.Setup setupWithProbes() {
            Proxy.Setup setup = setup();
            setup.probes = true;
            return setup;
        }

        @Test
        void probesTwoServersAndTakesTheFirstIdleOne() {
            Proxy proxy = new Proxy(setupWithProbes()).with("a", "b", "c", "d");
            proxy.report("d", 3);
            String request = proxy.request(Proxy.SAFE);
            assertEquals(2, proxy.count("probe"));
            assertNull(proxy.at(request));
            String busy = proxy.done.get(0).substring(6);
            String idle = proxy.done.get(1).substring(6);
            proxy.now += MS;
            proxy.report(busy, 1);
            assertNull(proxy.at(request));
            proxy.report(idle, 0);
            assertEquals(idle, proxy.at(request));
        }

        @Test
        void aServerThatIsNeverIdleIsNotProbedFirstEachTime() {
            // Hung servers keep their backlog and are never assigned a call. If each call probed them first,
            // the load they report would be taken for that of all others, until nothing was sent any more.
            Proxy proxy = new Proxy(setupWithProbes()).with("a", "b", "c", "d", "e", "f", "g", "h");
            for (int i = 0; i < 60; i++) {
                int nextAction = proxy.done.size();
                String request = proxy.request(Proxy.SAFE);
                proxy.pass(1);
                for (; nextAction < proxy.done.size(); nextAction++) {
                    String line = proxy.done.get(nextAction);
                    if (line.startsWith("probe")) {
                        proxy.report(line.substring(6), line.endsWith("a") || line.endsWith("b") ? 6 : 0);
                    }
                }
                proxy.pass(5);
                assertNotNull(proxy.at(request), "request " + i + " was not sent");
                proxy.pass(50);
                proxy.end(request, Outcome.OK);
                proxy.pass(500);
            }
            assertTrue(proxy.count("probe a") + proxy.count("probe b") < 45,
                    "probes of the busy server a: " + proxy.count("probe a"));
        }

        @Test
        void probesOneServerAtATimeUnderLightLoad() {
            // Under light load a second probe for each call costs more than it gains.
            Proxy proxy = new Proxy(setupWithProbes()).with("a", "b", "c", "d");
            String request = proxy.request(Proxy.SAFE);
            assertEquals(1, proxy.count("probe"));
            String probed = proxy.done.get(0).substring(6);
            proxy.now += MS;
            proxy.report(probed, 0);
            assertEquals(probed, proxy.at(request));
        }

        /** Returns a proxy after twelve served calls, all of whose probes were answered as idle. */
        private Proxy proxyAfterServedCalls(String... servers) {
            Proxy proxy = new Proxy(setupWithProbes()).with(servers);
            for (int i = 0; i < 12; i++) {
                int nextAction = proxy.done.size();
                String request = proxy.request(Proxy.SAFE);
                proxy.pass(1);
                for (; nextAction < proxy.done.size(); nextAction++) {
                    if (proxy.done.get(nextAction).startsWith("probe")) {
                        proxy.report(proxy.done.get(nextAction).substring(6), 0);
                    }
                }
                proxy.pass(50);
                proxy.end(request, Outcome.OK);
                proxy.pass(100);
            }
            return proxy;
        }

        /**
         * Answers the recorded probes, except those to unreachable servers.
         *
         * @param firstAction index of the first recorded action to consider
         * @param inFlight the load that the servers report
         * @param unreachable ids of the servers that do not answer, separated by spaces
         */
        private void answerProbes(Proxy proxy, int firstAction, int inFlight, String unreachable) {
            for (int i = firstAction; i < proxy.done.size(); i++) {
                String[] words = proxy.done.get(i).split(" ");
                if (words[0].equals("probe") && !unreachable.contains(words[1])) {
                    proxy.report(words[1], inFlight);
                }
            }
        }

        @Test
        void aServerWithAnUnansweredProbeIsNotTakenNext() {
            // The server that is next in order is probed first. If it does not answer, the call must not be
            // sent to it for being next.
            Proxy proxy = proxyAfterServedCalls("a", "b", "c", "d");
            int actionsBefore = proxy.done.size();
            String request = proxy.request(Proxy.SAFE);
            String silentServer = proxy.done.get(actionsBefore).substring(6);
            proxy.pass(50);
            assertNotNull(proxy.at(request));
            assertNotEquals(silentServer, proxy.at(request));
        }

        @Test
        void serversWithUnansweredProbesComeAfterBusyOnes() {
            // In a zone cut off from the others more than half of the servers are unreachable. Not all of
            // them are ejected, as half of the servers must stay available; the rest would look idle and
            // attract each call that finds the reachable servers busy.
            Proxy proxy = proxyAfterServedCalls("a", "b", "c");
            for (String unreachable : List.of("a", "b", "a", "b")) {
                proxy.logic.probeResult(proxy.now, unreachable, Outcome.TIMEOUT, 50 * MS, null);
            }
            int firstAction = proxy.done.size();
            String request = proxy.request(Proxy.SAFE);
            for (int i = 0; i < 4; i++) {
                proxy.pass(2);
                answerProbes(proxy, firstAction, 1, "a b");
                firstAction = proxy.done.size();
            }
            proxy.pass(10);
            assertEquals("c", proxy.at(request));
        }

        @Test
        void theNewestQueuedCallGoesFirstAndNoneThatWouldProbablyBeLate() {
            // Sent in the order of arrival, under overload each call would be sent at the last moment and
            // most responses would be late.
            Proxy proxy = new Proxy(setup()).with("a");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            List<String> sent = new ArrayList<>();
            List<String> queued = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String request = proxy.request(Proxy.SAFE);
                (proxy.at(request) == null ? queued : sent).add(request);
            }
            assertTrue(queued.size() > 1, "queued: " + queued);
            proxy.pass(100);
            proxy.end(sent.get(0), Outcome.OK);
            String newest = queued.get(queued.size() - 1);
            for (int i = 1; i < sent.size() && proxy.at(newest) == null; i++) {
                proxy.end(sent.get(i), Outcome.OK);
            }
            assertNotNull(proxy.at(newest));
            assertNull(proxy.at(queued.get(0)));
            proxy.pass(260);
            for (String request : sent) {
                proxy.logic.outcome(proxy.now, request, 0, "a", Outcome.OK, 360 * MS, true, null);
            }
            for (String request : queued) {
                assertTrue(proxy.at(request) != null || proxy.did("refuse " + request)
                        || proxy.did("fail " + request), request);
            }
            assertNull(proxy.at(queued.get(0)), "sent with 40 of 400 ms left");
        }

        @Test
        void sendsACallThoughNoProbeIsAnswered() {
            Proxy proxy = new Proxy(setupWithProbes()).with("a", "b", "c", "d");
            String request = proxy.request(Proxy.SAFE);
            proxy.pass(50);
            assertNotNull(proxy.at(request));
        }

        @Test
        void sendsNoProbesWhereTheyAreNotAllowed() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            proxy.serve();
            assertEquals(0, proxy.count("probe"));
        }

        @Test
        void sendsNothingThatCouldNotBeAnsweredInTime() {
            // Queues of late work at every replica would keep the whole tier busy with responses that miss
            // the latency goal.
            Proxy proxy = new Proxy(setup()).with("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            for (int i = 0; i < 60; i++) {
                proxy.request(Proxy.SAFE);
            }
            int sent = proxy.count("send") - 10;
            assertTrue(sent < 12, "sent at once: " + sent);
            proxy.pass(1_000);
            assertEquals(60, sent + proxy.count("fail") + proxy.count("refuse") + proxy.count("send") - 10
                    - sent);
        }

        @Test
        void overQuotaRequestsAreRefusedWhileNoServerIsIdle() {
            // Under overload, over-quota requests, which have little value, would displace those within
            // quota.
            Proxy.Setup setup = setup();
            setup.quota = 10;
            Proxy proxy = new Proxy(setup).with("a", "b");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            for (int i = 0; i < 60; i++) {
                String request = proxy.request(Proxy.SAFE, 1);
                assertNotNull(proxy.at(request), "an over-quota request must be sent while a server is idle");
                proxy.pass(1);
                proxy.end(request, Outcome.OK);
            }
            proxy.request(Proxy.SAFE);
            proxy.request(Proxy.SAFE);
            String overQuota = proxy.request(Proxy.SAFE, 1);
            assertTrue(proxy.did("refuse " + overQuota),
                    "an over-quota request was not refused although no server is idle");
            assertNotNull(proxy.at(proxy.request(Proxy.SAFE)),
                    "requests of a tenant without a quota must still be sent");
            proxy.pass(10_000);
            proxy.request(Proxy.SAFE);
            proxy.request(Proxy.SAFE);
            assertNotNull(proxy.at(proxy.request(Proxy.SAFE, 1)),
                    "after a pause the tenant is within its quota again");
        }

        /** Returns how many of 40 simultaneous calls are sent to two servers that served 30 calls before. */
        private int sentAtOnce(Proxy.Setup setup, int requestClass) {
            Proxy proxy = new Proxy(setup).with("a", "b");
            for (int i = 0; i < 30; i++) {
                proxy.serve();
            }
            for (int i = 0; i < 40; i++) {
                proxy.request(requestClass);
            }
            return proxy.count("send") - 30;
        }

        @Test
        void aMoreValuableCallIsSentWhereTheLeastValuableMustWait() {
            Proxy.Setup setup = setup();
            setup.more = List.of(new RequestClass("valuable", 400 * MS, 1_000 * MS, 10, 0, Effect.SAFE,
                    DedupScope.ALL, 0));
            Proxy proxy = new Proxy(setup).with("a");
            for (int i = 0; i < 20; i++) {
                proxy.serve();
            }
            String lastRequest = proxy.request(Proxy.SAFE);
            for (int i = 0; i < 20 && proxy.at(lastRequest) != null; i++) {
                lastRequest = proxy.request(Proxy.SAFE);
            }
            assertNull(proxy.at(lastRequest), "calls of the least valuable class are sent without limit");
            assertNotNull(proxy.at(proxy.request(4)),
                    "a more valuable call was queued like the least valuable ones");
        }

        @Test
        void classesWithALongerGoalDoNotDisplaceOthersUnlessMoreValuable() {
            // Calls with a longer latency goal would fill all servers until none had room for those with a
            // shorter one, and the servers would be overloaded.
            Proxy.Setup setup = setup();
            setup.more = List.of(
                    new RequestClass("long", 800 * MS, 1_000 * MS, 1, 0, Effect.SAFE, DedupScope.ALL, 0),
                    new RequestClass("valuable", 800 * MS, 1_000 * MS, 2, 0, Effect.SAFE, DedupScope.ALL, 0));
            int sentWithUsualGoal = sentAtOnce(setup, Proxy.SAFE);
            assertEquals(sentWithUsualGoal, sentAtOnce(setup, 4));
            assertTrue(sentAtOnce(setup, 5) > sentWithUsualGoal);
        }

        @Test
        void aLastRetryWhoseLatencyGoalHasPassedIsNotSent() {
            // The time left of a client's last try is all that is left of its deadline, which shows when its
            // first try was made. Without this check, overloaded servers would work on responses that miss
            // the latency goal by far.
            Proxy proxy = new Proxy(setup()).with("a", "b");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            long firstTryUs = 600 * MS;
            proxy.logic.request(proxy.now, new Request("first", Proxy.SAFE, 0, firstTryUs, 0, false));
            proxy.logic.request(proxy.now, new Request("again", Proxy.SAFE, 0, firstTryUs, 0, true));
            proxy.logic.request(proxy.now, new Request("soon", Proxy.SAFE, 0, 900 * MS, 0, true));
            proxy.logic.request(proxy.now, new Request("late", Proxy.SAFE, 0, 500 * MS, 0, true));
            assertNotNull(proxy.at("first"));
            assertNotNull(proxy.at("again"),
                    "a retry with the time of a first try does not show when that one was made");
            assertNotNull(proxy.at("soon"), "100 of the 400 ms of the latency goal have passed");
            assertNull(proxy.at("late"), "500 ms have passed, more than the latency goal of 400 ms");
            assertTrue(proxy.did("fail late") || proxy.did("refuse late"));
        }

        @Test
        void anOverdueCallDelaysItsServersNextUseBeyondItsDegradation() {
            // A replica with few calls uses each server less often than a degradation lasts. If nothing else
            // delayed the next use, overloaded servers would keep their full share of the calls.
            Proxy proxy = new Proxy(setup()).with("a", "b", "c", "d", "e", "f");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
                proxy.pass(700);
            }
            String overdueRequest = proxy.request(Proxy.UNSAFE);
            String slowServer = proxy.at(overdueRequest);
            proxy.pass(700);
            proxy.end(overdueRequest, Outcome.OK);
            proxy.pass(3_000);
            for (int i = 0; i < 8; i++) {
                assertNotEquals(slowServer, proxy.serve(), "call " + i + " after the overdue one");
                proxy.pass(700);
            }
        }

        @Test
        void aSlowPeriodDoesNotStopLaterCallsFromBeingSent() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            for (int i = 0; i < 40; i++) {
                String request = proxy.request(Proxy.SAFE);
                proxy.pass(900);
                if (proxy.at(request) != null) {
                    proxy.logic.outcome(proxy.now, request, 0, proxy.at(request), Outcome.OK, 900 * MS, true,
                            null);
                }
            }
            int sentBefore = proxy.count("send");
            for (int i = 0; i < 300; i++) {
                String request = proxy.request(Proxy.SAFE);
                proxy.pass(50);
                if (proxy.at(request) != null) {
                    proxy.end(request, Outcome.OK);
                }
            }
            assertTrue(proxy.count("send") - sentBefore > 100,
                    "calls sent after the slow period: " + (proxy.count("send") - sentBefore));
        }
    }

    @Test
    void invalidSettingsAreRejectedByName() {
        Proxy.Setup setup = setup();
        setup.maxAttempts = 0;
        var exception = assertThrows(IllegalArgumentException.class, () -> new Proxy(setup));
        assertTrue(exception.getMessage().startsWith("limits.maxAttempts"), exception.getMessage());
        setup.maxAttempts = 1;
        setup.coldFrom = 0;
        exception = assertThrows(IllegalArgumentException.class, () -> new Proxy(setup));
        assertTrue(exception.getMessage().startsWith("rules.coldFrom"), exception.getMessage());
        assertThrows(IllegalArgumentException.class, () -> new LeastLoadedBalancer(null, 1, null));
        assertFalse(new Proxy(setup()).did("anything"));
    }

    /** Queued calls are reconsidered once a server becomes available to them or their time runs short. */
    @Nested
    class QueuedCalls {

        /** Index of the first class added to the four usual ones. */
        private static final int FIRST_ADDED_CLASS = 4;
        /** Index of the second class added to the four usual ones. */
        private static final int SECOND_ADDED_CLASS = 5;

        /** Returns a proxy with four servers that have their full capacity at once when they start. */
        private Proxy proxyWithoutSlowStart(RequestClass... addedClasses) {
            Proxy.Setup setup = setup();
            setup.coldFrom = 1;
            setup.more = List.of(addedClasses);
            return new Proxy(setup).with("a", "b", "c", "d");
        }

        private RequestClass requestClass(Effect effect, DedupScope dedupScope, Set<Integer> allowedZones) {
            return new RequestClass("added", 400 * MS, 1_000 * MS, 1, 0, effect, dedupScope, 600 * MS,
                    allowedZones, null);
        }

        private void disable(Proxy proxy, String... servers) {
            for (String server : servers) {
                proxy.logic.disable(proxy.now, server);
            }
        }

        @Test
        void theNewestGoToTheFreedServerAtEachOutcome() {
            Proxy proxy = new Proxy(setup()).with("a");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            List<String> sent = new ArrayList<>();
            List<String> queued = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                String request = proxy.request(Proxy.SAFE);
                (proxy.at(request) == null ? queued : sent).add(request);
            }
            for (int i = 0; i < 4; i++) {
                proxy.end(sent.get(i), Outcome.OK);
                int queuedBefore = queued.size();
                while (!queued.isEmpty() && proxy.at(queued.get(queued.size() - 1)) != null) {
                    sent.add(queued.remove(queued.size() - 1));
                }
                assertTrue(queued.size() < queuedBefore, "outcome " + i + " sent no queued call");
                assertTrue(queued.stream().allMatch(request -> proxy.at(request) == null),
                        "outcome " + i + " sent an older call before a newer one");
            }
        }

        @Test
        void eachIsEndedAsSoonAsItsTimeRunsShort() {
            Proxy proxy = proxyWithoutSlowStart();
            proxy.serve();
            disable(proxy, "a", "b", "c", "d");
            Map<String, Long> receivedAtUs = new HashMap<>();
            Map<String, Long> waitedUs = new HashMap<>();
            for (int ms = 0; ms < 1_000; ms++) {
                if (ms % 5 == 0 && ms < 500) {
                    receivedAtUs.put(proxy.request(ms % 10 == 0 ? Proxy.SAFE : Proxy.UNSAFE), proxy.now);
                }
                proxy.pass(1);
                proxy.done.stream().filter(line -> line.startsWith("refuse ") || line.startsWith("fail "))
                        .map(line -> line.substring(line.indexOf(' ') + 1))
                        .forEach(request -> waitedUs.putIfAbsent(request,
                        proxy.now - receivedAtUs.get(request)));
            }
            assertEquals(receivedAtUs.keySet(), waitedUs.keySet());
            // A call is useful for 400 ms and is given up when less than 1.4 times the usual 50 ms of a call
            // is left, so after 330 ms.
            assertTrue(waitedUs.values().stream().allMatch(us -> us >= 329 * MS && us <= 332 * MS),
                    "times waited in us: " + waitedUs.values());
        }

        @Test
        void aServerIsUsedAsSoonAsItsEjectionExpires() {
            Proxy proxy = new Proxy(setup()).with("a");
            for (int i = 0; i < 2; i++) {
                proxy.end(proxy.request(Proxy.SAFE), Outcome.CONNECT_FAILED);
                proxy.pass(i == 0 ? 1_000 : 2_900);
            }
            String first = proxy.request(Proxy.SAFE);
            String second = proxy.request(Proxy.SAFE);
            proxy.pass(98);
            assertNull(proxy.at(first));
            proxy.pass(4);
            assertEquals("a", proxy.at(first));
            assertEquals("a", proxy.at(second));
        }

        @Test
        void aReenabledServerIsUsedAtOnce() {
            Proxy proxy = proxyWithoutSlowStart();
            disable(proxy, "a", "b", "c", "d");
            List<String> queued = List.of(proxy.request(Proxy.SAFE), proxy.request(Proxy.UNSAFE));
            proxy.logic.enable(proxy.now, "c");
            queued.forEach(request -> assertEquals("c", proxy.at(request)));
        }

        /** Newer queued calls that may not use the server, however many, must not block one that may. */
        @Test
        void aReenabledServerGetsTheCallsThatMayUseIt() {
            Proxy proxy = proxyWithoutSlowStart(requestClass(Effect.SAFE, DedupScope.ALL, Set.of(0)),
                    requestClass(Effect.SAFE, DedupScope.ALL, Set.of(1)));
            disable(proxy, "a", "b", "c", "d");
            String allowedInZone0 = proxy.request(FIRST_ADDED_CLASS);
            List<String> allowedInZone1 = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                allowedInZone1.add(proxy.request(SECOND_ADDED_CLASS));
            }
            proxy.logic.enable(proxy.now, "a");
            assertEquals("a", proxy.at(allowedInZone0));
            allowedInZone1.forEach(request -> assertNull(proxy.at(request)));
        }

        @Test
        void aQueuedRetryGoesOnlyToItsDedupCell() {
            Proxy proxy = proxyWithoutSlowStart(requestClass(Effect.KEYED, DedupScope.CELL, null));
            disable(proxy, "b", "d");
            Map<String, String> firstServers = new HashMap<>();
            for (int i = 0; i < 4; i++) {
                String request = proxy.request(FIRST_ADDED_CLASS);
                firstServers.put(request, proxy.at(request));
            }
            assertEquals(Set.of("a", "c"), new HashSet<>(firstServers.values()));
            firstServers.keySet().forEach(request -> proxy.end(request, Outcome.RESET));
            proxy.logic.enable(proxy.now, "b");
            firstServers.forEach((request, firstServer) ->
                    assertEquals(firstServer.equals("a") ? "b" : "c", proxy.at(request)));
            proxy.logic.enable(proxy.now, "d");
            firstServers.forEach((request, firstServer) ->
                    assertEquals(firstServer.equals("a") ? "b" : "d", proxy.at(request)));
        }
    }

    /** Servers that an operator disables. */
    @Nested
    class DisabledServers {

        @Test
        void aDisabledServerGetsNoRequests() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            proxy.logic.disable(proxy.now, "a");
            assertTrue(proxy.logic.isDisabled("a"));
            for (int i = 0; i < 6; i++) {
                assertEquals("b", proxy.at(proxy.request(Proxy.SAFE)));
            }
        }

        /** Neither a change list nor a full list nor a restart of the server enables it again. */
        @Test
        void staysDisabledWhateverListsSay() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            proxy.logic.disable(proxy.now, "a");
            proxy.change("a", 0, ServerStatus.GONE);
            proxy.change("a", proxy.now, ServerStatus.UP);
            assertEquals("b", proxy.serve());
            proxy.logic.serversChanged(proxy.now, ListKind.FULL, List.of(
                    new Server("a", proxy.now - 1, 0, 0, ServerStatus.UP),
                    new Server("b", 0, 0, 0, ServerStatus.UP)));
            proxy.pass(20_000);
            for (int i = 0; i < 6; i++) {
                assertEquals("b", proxy.serve());
            }
        }

        @Test
        void retriesAreNotSentToADisabledServer() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            String call = proxy.request(Proxy.SAFE);
            String otherServer = proxy.at(call).equals("a") ? "b" : "a";
            proxy.logic.disable(proxy.now, otherServer);
            proxy.end(call, Outcome.CONNECT_FAILED);
            assertEquals(1, proxy.attempts.get(call),
                    "the call was retried although the only other server is disabled");
        }

        @Test
        void callsWaitWhileAllAreDisabledUntilOneIsEnabled() {
            Proxy.Setup withoutSlowStart = setup();
            withoutSlowStart.coldFrom = 1;
            Proxy proxy = new Proxy(withoutSlowStart).with("a", "b");
            proxy.logic.disable(proxy.now, "a");
            proxy.logic.disable(proxy.now, "b");
            String call = proxy.request(Proxy.SAFE);
            proxy.pass(100);
            assertNull(proxy.at(call));
            proxy.logic.enable(proxy.now, "b");
            proxy.pass(100);
            assertEquals("b", proxy.at(call));
        }

        @Test
        void callsAreEndedWhereAllStayDisabled() {
            Proxy proxy = new Proxy(setup()).with("a");
            proxy.logic.disable(proxy.now, "a");
            String call = proxy.request(Proxy.SAFE);
            proxy.pass(2_000);
            assertNull(proxy.at(call));
            assertEquals(1, proxy.count("refuse " + call) + proxy.count("fail " + call));
        }

        /** A disabled server was most likely restarted, so it can take only a new server's share. */
        @Test
        void oneEnableEndsSeveralDisablesAndBeginsASlowStart() {
            Proxy.Setup withSlowStart = setup();
            withSlowStart.coldFrom = 0.1;
            Proxy proxy = new Proxy(withSlowStart).with("a", "b", "c");
            for (int i = 0; i < 30; i++) {
                proxy.serve();
            }
            proxy.logic.disable(proxy.now, "a");
            proxy.logic.disable(proxy.now, "a");
            proxy.logic.enable(proxy.now, "a");
            assertFalse(proxy.logic.isDisabled("a"));
            int callsDuringSlowStart = 0;
            for (int i = 0; i < 30; i++) {
                callsDuringSlowStart += proxy.serve().equals("a") ? 1 : 0;
            }
            assertTrue(callsDuringSlowStart > 0 && callsDuringSlowStart < 8,
                    "a reenabled server got " + callsDuringSlowStart + " of 30 calls");
            proxy.pass(8_000);
            int callsWhenWarm = 0;
            for (int i = 0; i < 30; i++) {
                callsWhenWarm += proxy.serve().equals("a") ? 1 : 0;
            }
            assertTrue(callsWhenWarm >= 9, "a warm server got " + callsWhenWarm + " of 30 calls");
        }

        /**
         * The server may lie outside the replica's subset and have got calls only in place of an unavailable
         * one. It must still get a call soon, as the operator who enabled it looks for one.
         */
        @Test
        void aReenabledServerGetsACallSoonEvenOutsideTheSubset() {
            Proxy.Setup fourReplicas = setup();
            fourReplicas.copies = 4;
            Proxy proxy = new Proxy(fourReplicas).with("a", "b", "c", "d", "e", "f", "g");
            Set<String> subset = new HashSet<>();
            for (int i = 0; i < 40; i++) {
                subset.add(proxy.serve());
            }
            assertEquals(5, subset.size());
            for (String server : List.of("a", "b", "c", "d", "e", "f", "g")) {
                proxy.logic.disable(proxy.now, server);
                proxy.pass(100);
                proxy.logic.enable(proxy.now, server);
                int requestsBefore = proxy.sentTo.size();
                Set<String> used = new HashSet<>();
                for (int i = 0; i < 60 && !used.contains(server); i++) {
                    used.add(proxy.serve());
                }
                assertTrue(used.contains(server),
                        server + " got no call; requests sent: " + (proxy.sentTo.size() - requestsBefore));
            }
            Set<String> usedLater = new HashSet<>();
            proxy.pass(8_000);
            for (int i = 0; i < 40; i++) {
                usedLater.add(proxy.serve());
            }
            assertEquals(subset, usedLater, "the replica does not use its subset again");
        }

        /** The list may show only after the enable that the server was restarted, or that it was gone. */
        @Test
        void aReenabledServerGetsACallSoonThoughItsRestartIsListedLater() {
            for (boolean listedAsGone : List.of(false, true)) {
                Proxy.Setup fourReplicas = setup();
                fourReplicas.copies = 4;
                Proxy proxy = new Proxy(fourReplicas).with("a", "b", "c", "d", "e", "f", "g");
                Set<String> subset = new HashSet<>();
                for (int i = 0; i < 40; i++) {
                    subset.add(proxy.serve());
                }
                for (String server : List.of("a", "b", "c", "d", "e", "f", "g")) {
                    proxy.logic.disable(proxy.now, server);
                    if (listedAsGone) {
                        proxy.change(server, 0, ServerStatus.GONE);
                    }
                    proxy.logic.enable(proxy.now, server);
                    proxy.pass(50);
                    proxy.change(server, proxy.now, ServerStatus.UP);
                    boolean used = false;
                    for (int i = 0; i < 100 && !used; i++) {
                        String call = proxy.request(Proxy.SAFE);
                        if (proxy.at(call) != null) {
                            used = proxy.at(call).equals(server);
                            proxy.end(call, Outcome.OK);
                        }
                        proxy.pass(40);
                    }
                    assertTrue(used, server + " got no call; was listed as gone: " + listedAsGone);
                    proxy.pass(20_000);
                }
            }
        }

        /** Failures of the process that was disabled say nothing about the one that runs after the enable. */
        @Test
        void aReenabledServerIsNotKeptEjected() {
            Proxy proxy = new Proxy(setup()).with("a", "b");
            for (int i = 0; i < 4; i++) {
                String call = proxy.request(Proxy.SAFE);
                if (proxy.at(call).equals("a")) {
                    proxy.end(call, Outcome.CONNECT_FAILED);
                }
                if (proxy.at(call).equals("b")) {
                    proxy.end(call, Outcome.OK);
                }
                proxy.pass(10);
            }
            proxy.logic.disable(proxy.now, "a");
            proxy.logic.enable(proxy.now, "a");
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 10; i++) {
                used.add(proxy.serve());
            }
            assertEquals(Set.of("a", "b"), used);
        }

        @Test
        void idleConnectionsAreClosedAtOnceAndAfterTheLastCall() {
            Proxy proxy = new Proxy(setup()).with("a");
            String call = proxy.request(Proxy.SAFE);
            proxy.logic.disable(proxy.now, "a");
            assertEquals(1, proxy.count("close a"));
            proxy.end(call, Outcome.OK);
            assertEquals(2, proxy.count("close a"));
        }

        @Test
        void serversAreKnownOnceListedAndAreCounted() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            assertFalse(proxy.logic.knows("z"));
            proxy.change("d", 0, ServerStatus.DRAINING);
            proxy.change("c", 0, ServerStatus.GONE);
            assertTrue(proxy.logic.knows("c"), "a server that was listed once must stay known");
            assertEquals(new Balancer.ServerCounts(3, 1), proxy.logic.serverCounts(proxy.now));
            proxy.logic.disable(proxy.now, "a");
            proxy.logic.disable(proxy.now, "c");
            assertEquals(new Balancer.ServerCounts(3, 2), proxy.logic.serverCounts(proxy.now));
            proxy.logic.enable(proxy.now, "a");
            assertEquals(new Balancer.ServerCounts(3, 1), proxy.logic.serverCounts(proxy.now));
        }

        /** A new process of the proxy takes over disabled servers before it has received a server list. */
        @Test
        void aServerMayBeDisabledBeforeItIsListed() {
            Proxy proxy = new Proxy(setup()).with("b");
            proxy.logic.disable(proxy.now, "a");
            assertTrue(proxy.logic.knows("a"));
            proxy.change("a", 0, ServerStatus.UP);
            proxy.pass(20_000);
            assertEquals("b", proxy.serve());
            assertEquals("b", proxy.serve());
        }

        /** New server names keep coming, so names must not be remembered without limit. */
        @Test
        void namesOfServersLongGoneAreForgotten() {
            Proxy proxy = new Proxy(setup()).with("a");
            for (int i = 0; i < 5_000; i++) {
                proxy.change("s" + i, 0, ServerStatus.UP);
                proxy.change("s" + i, 0, ServerStatus.GONE);
            }
            assertTrue(proxy.logic.knows("a"));
            assertTrue(proxy.logic.knows("s4999"));
            assertFalse(proxy.logic.knows("s0"));
        }
    }

    /** Requests too long to be buffered, and responses that are forwarded while they arrive. */
    @Nested
    class StreamedBodies {

        /** Starts a request whose body is still arriving and returns its id. */
        private String startIncompleteRequest(Proxy proxy, int requestClass) {
            String id = "long" + proxy.done.size();
            proxy.logic.request(proxy.now, new Request(id, requestClass, 0, 1_000 * MS, 0, false, true));
            return id;
        }

        /** However long a request takes to arrive, none of its attempts is overdue before its last byte. */
        @Test
        void attemptsBecomeOverdueOnlyAfterTheLastByte() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            String call = startIncompleteRequest(proxy, Proxy.SAFE);
            proxy.pass(900);
            assertEquals(1, proxy.attempts.get(call), "hedged although the request is still arriving");
            proxy.logic.requestComplete(proxy.now, call, 1_000 * MS);
            proxy.pass(900);
            assertEquals(2, proxy.attempts.get(call),
                    "an overdue call was not hedged after its request was complete");
            assertFalse(proxy.did("fail " + call) || proxy.did("refuse " + call));
        }

        @Test
        void aBufferedBodyIsRetriedAndADiscardedOneIsNot() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            String buffered = startIncompleteRequest(proxy, Proxy.UNSAFE);
            proxy.end(buffered, Outcome.CONNECT_FAILED);
            assertEquals(2, proxy.attempts.get(buffered));
            String discarded = startIncompleteRequest(proxy, Proxy.UNSAFE);
            proxy.logic.bodyDiscarded(proxy.now, discarded);
            proxy.end(discarded, Outcome.CONNECT_FAILED);
            assertEquals(1, proxy.attempts.get(discarded));
            assertTrue(proxy.did("refuse " + discarded),
                    "the call cannot have run, so its client must be told that it may retry");
        }

        @Test
        void aDiscardedBodyIsNotHedged() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            String call = startIncompleteRequest(proxy, Proxy.SAFE);
            proxy.logic.bodyDiscarded(proxy.now, call);
            proxy.logic.requestComplete(proxy.now, call, 1_000 * MS);
            proxy.pass(900);
            assertEquals(1, proxy.attempts.get(call));
        }

        @Test
        void aStartedResponseIsCommittedAndOtherAttemptsAreCancelled() {
            Proxy proxy = new Proxy(setup()).with("a", "b", "c");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            String call = proxy.request(Proxy.SAFE);
            proxy.pass(500);
            assertEquals(2, proxy.attempts.get(call));
            proxy.logic.streamStarted(proxy.now, call, 0, proxy.sentTo.get(call).get(0), 500 * MS);
            assertFalse(proxy.did("cancel " + call + " 0"));
            assertTrue(proxy.did("cancel " + call + " 1"));
            proxy.logic.outcome(proxy.now, call, 1, proxy.sentTo.get(call).get(1), Outcome.CANCELLED, 1, true,
                    null);
            proxy.pass(5_000);
            proxy.logic.outcome(proxy.now, call, 0, proxy.sentTo.get(call).get(0), Outcome.RESET, 500 * MS,
                    true, null);
            assertEquals(2, proxy.attempts.get(call));
            assertEquals(0, proxy.count("fail") + proxy.count("refuse")
                    + proxy.count("cancel " + call + " 0"));
        }
    }
}
