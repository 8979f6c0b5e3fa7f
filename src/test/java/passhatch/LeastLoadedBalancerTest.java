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
 * Tests of the decision module on its own. {@link FakeProxy} stands in for the network: it reports events to
 * the
 * module, records the actions that the module requests, and advances virtual time only when a test does.
 */
class LeastLoadedBalancerTest {

    private static final long MS = FakeProxy.MS;

    private static FakeProxy.Setup setup() {
        return new FakeProxy.Setup();
    }

    /** The choice among servers that are all healthy. */
    @Nested
    class ServerSelection {

        @Test
        void takesIdleServersBeforeBusyOnes() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            Set<String> taken = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                taken.add(proxy.latestServer(proxy.request(FakeProxy.SAFE)));
            }
            assertEquals(Set.of("a", "b", "c"), taken);
        }

        @Test
        void takesTheServerWithFewestInFlightWhenNoneIsIdle() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            String first = proxy.request(FakeProxy.SAFE);
            proxy.request(FakeProxy.SAFE);
            proxy.request(FakeProxy.SAFE);
            proxy.request(FakeProxy.SAFE);
            proxy.endAttempt(first, Outcome.OK);
            String freedServer = proxy.latestServer(first);
            assertEquals(freedServer, proxy.latestServer(proxy.request(FakeProxy.SAFE)));
        }

        @Test
        void takesTheLeastRecentlyAssignedIdleServer() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            String[] firstRound = {proxy.serve(), proxy.serve(), proxy.serve()};
            for (String server : firstRound) {
                assertEquals(server, proxy.serve());
            }
        }

        @Test
        void eachReplicaTakesUnusedServersInItsOwnOrder() {
            Set<List<String>> orders = new HashSet<>();
            for (int seed = 0; seed < 20; seed++) {
                FakeProxy proxy = new FakeProxy(setup(), seed).withServers("a", "b", "c");
                orders.add(List.of(proxy.serve(), proxy.serve(), proxy.serve()));
            }
            assertTrue(orders.size() > 2, "orders seen: " + orders);
        }

        @Test
        void givesASlowServerFewerRequests() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            Map<String, Integer> requestsByServer = new HashMap<>();
            for (int i = 0; i < 120; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                String server = proxy.latestServer(request);
                requestsByServer.merge(server, 1, Integer::sum);
                proxy.advanceTime(100);
                proxy.balancer.outcome(proxy.nowUs, request, 0, server, Outcome.OK,
                        server.equals("a") ? 100 * MS : 50 * MS,
                        true, null);
            }
            assertTrue(requestsByServer.get("a") * 1.4 < requestsByServer.get("b"),
                    "requests by server: " + requestsByServer);
        }

        @Test
        void sameEventsGiveTheSameActionsWhateverAnotherInstanceDoes() {
            FakeProxy expected = new FakeProxy(setup(), 3).withServers("a", "b", "c");
            FakeProxy actual = new FakeProxy(setup(), 3).withServers("a", "b", "c");
            FakeProxy otherInstance = new FakeProxy(setup(), 4).withServers("a", "b", "c");
            for (int i = 0; i < 50; i++) {
                expected.serve();
                otherInstance.request(FakeProxy.UNSAFE);
                actual.serve();
            }
            assertEquals(expected.actions, actual.actions);
        }
    }

    /** Failing servers are degraded, then ejected; calls are queued while no server is available. */
    @Nested
    class Ejection {

        @Test
        void aServerThatFailedOnceIsTakenOnlyWhenAllOthersAreBusy() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            for (int i = 0; i < 3; i++) {
                proxy.serve();
            }
            String request = proxy.request(FakeProxy.SAFE);
            String failedServer = proxy.latestServer(request);
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            proxy.endAttempt(request, Outcome.OK);
            proxy.advanceTime(1);
            assertNotEquals(failedServer, proxy.latestServer(proxy.request(FakeProxy.SAFE)));
            proxy.advanceTime(1);
            assertNotEquals(failedServer, proxy.latestServer(proxy.request(FakeProxy.SAFE)));
            proxy.advanceTime(1);
            assertEquals(failedServer, proxy.latestServer(proxy.request(FakeProxy.SAFE)));
        }

        @Test
        void isEjectedAfterConsecutiveFailuresAndReturnsLater() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            for (int i = 0; i < 2; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                assertEquals("a", proxy.latestServer(request));
                proxy.endAttempt(request, Outcome.CONNECT_FAILED);
                proxy.advanceTime(1_000);
            }
            String queued = proxy.request(FakeProxy.SAFE);
            assertNull(proxy.latestServer(queued));
            proxy.advanceTime(4_000);
            assertEquals("a", proxy.latestServer(proxy.request(FakeProxy.SAFE)));
        }

        @Test
        void ejectionsGrowLongerWithEachFurtherFailure() {
            // A server that has no connection left would be overloaded further by frequent attempts.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            long[] ejectionsUs = new long[2];
            for (int i = 0; i < 5; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                long requestedAtUs = proxy.nowUs;
                while (proxy.latestServer(request) == null) {
                    proxy.advanceTime(100);
                    request = proxy.latestServer(request) == null ? proxy.request(FakeProxy.SAFE) : request;
                }
                if (i >= 3) {
                    ejectionsUs[i - 3] = proxy.nowUs - requestedAtUs;
                }
                proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            }
            assertTrue(ejectionsUs[1] > ejectionsUs[0] * 3 / 2,
                    ejectionsUs[0] + " us of ejection were followed by, in us, " + ejectionsUs[1]);
        }

        @Test
        void requestWaitsWithoutServersAndFailsWhenTimeRunsShort() {
            FakeProxy proxy = new FakeProxy(setup()).withServers();
            String request = proxy.request(FakeProxy.UNSAFE);
            proxy.advanceTime(2_000);
            assertEquals(List.of("fail " + request),
                    proxy.actions.stream().filter(line -> !line.startsWith("log ")).toList());
        }

        @Test
        void sendsAQueuedCallWhenAServerAppears() {
            FakeProxy proxy = new FakeProxy(setup()).withServers();
            String request = proxy.request(FakeProxy.SAFE);
            proxy.changeServer("a", 0, ServerStatus.UP);
            proxy.advanceTime(390);
            String laterRequest = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(390);
            assertTrue("a".equals(proxy.latestServer(request))
                    || "a".equals(proxy.latestServer(laterRequest)));
        }

        @Test
        void aServerWithFarMoreErrorsThanTheOthersIsEjected() {
            // A server that returns errors at once always looks idle and would attract ever more calls.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            int errors = 0;
            for (int i = 0; i < 200; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                proxy.advanceTime(20);
                boolean isFaulty = "a".equals(proxy.latestServer(request));
                errors += isFaulty ? 1 : 0;
                proxy.endAttempt(request, isFaulty ? Outcome.ERROR : Outcome.OK);
            }
            assertTrue(errors < 12, "calls sent to the server that returns errors: " + errors);
        }

        @Test
        void similarErrorRatesEjectNoServer() {
            // Errors at every server come from a failing tier behind them; ejecting servers would only remove
            // capacity.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                assertNotNull(proxy.latestServer(request));
                proxy.advanceTime(20);
                proxy.endAttempt(request, Outcome.ERROR);
            }
        }

        @Test
        void similarResetRatesEjectNoServer() {
            // The connections had been established, so the servers are alive. Ejecting all of them would
            // leave calls waiting without any server.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                assertNotNull(proxy.latestServer(request), "call " + i + " was not sent");
                proxy.advanceTime(20);
                proxy.endAttempt(request, i % 10 < 3 ? Outcome.RESET : Outcome.OK);
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
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            int requestsWithEjection = 0;
            for (int i = 0; i < 4_000; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                proxy.advanceTime(20);
                for (int attempt = 0; attempt < proxy.attemptCounts.getOrDefault(request, 0); attempt++) {
                    double failureRate =
                            "a".equals(proxy.serversByRequest.get(request).get(attempt)) ? failureRateOfA
                            : 1.0 / 8;
                    proxy.endAttempt(request, attempt,
                            random.nextDouble() < failureRate ? failure : Outcome.OK);
                }
                requestsWithEjection += proxy.balancer.serverCounts(proxy.nowUs).unavailable() > 0 ? 1 : 0;
            }
            return requestsWithEjection / 4_000.0;
        }

        @Test
        void aServerThatBreaksFarMoreConnectionsThanTheOthersIsEjected() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            int lostCalls = 0;
            for (int i = 0; i < 200; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                proxy.advanceTime(20);
                boolean isFaulty = "a".equals(proxy.latestServer(request));
                lostCalls += isFaulty ? 1 : 0;
                proxy.endAttempt(request, isFaulty ? Outcome.RESET : Outcome.OK);
            }
            assertTrue(lostCalls < 12, "calls lost to the faulty server: " + lostCalls);
        }

        @Test
        void aServerThatDoesNotRespondIsEjected() {
            // A hung server keeps its connections and answers probes but no calls: only overdue calls
            // show it.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 8; i++) {
                proxy.serve();
            }
            int lostCalls = 0;
            for (int i = 0; i < 40; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                if ("a".equals(proxy.latestServer(request))) {
                    lostCalls++;
                    proxy.advanceTime(1_000);
                    proxy.endAttempt(request, Outcome.TIMEOUT);
                } else {
                    proxy.advanceTime(50);
                    proxy.endAttempt(request, Outcome.OK);
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
            FakeProxy proxy = new FakeProxy(setup()).withServers();
            String request = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(1_000);
            assertEquals(1, proxy.countActions("fail " + request) + proxy.countActions("refuse " + request));
            proxy.changeServer("a", 0, ServerStatus.UP);
            proxy.advanceTime(10_000);
            assertEquals(0, proxy.countActions("send " + request));
        }

        @Test
        void failsOnceAfterATimeoutAtTheDeadline() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            String request = proxy.request(FakeProxy.UNSAFE);
            proxy.advanceTime(1_000);
            proxy.endAttempt(request, Outcome.TIMEOUT);
            proxy.advanceTime(1_000);
            assertEquals(1, proxy.countActions("fail " + request));
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void sendsNoFinalResponseOnceTheClientHasGone() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            String request = proxy.request(FakeProxy.SAFE);
            proxy.balancer.clientGone(proxy.nowUs, request);
            proxy.endAttempt(request, Outcome.ERROR);
            proxy.advanceTime(2_000);
            assertEquals(0, proxy.countActions("fail") + proxy.countActions("refuse"));
            assertEquals(1, proxy.countActions("send"));
            assertTrue(proxy.hasAction("cancel " + request + " 0"));
        }

        @Test
        void ignoresEventsForEndedOrUnknownRequests() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            proxy.serve();
            int actionsBefore = proxy.actions.size();
            proxy.balancer.clientGone(proxy.nowUs, "r0");
            proxy.balancer.outcome(proxy.nowUs, "r0", 0, "a", Outcome.OK, 1, true, null);
            proxy.balancer.outcome(proxy.nowUs, "unknown", 3, "a", Outcome.ERROR, 1, false, null);
            assertEquals(actionsBefore, proxy.actions.size());
        }

        @Test
        void neverSendsARequestThatEndedWhileItWaited() {
            FakeProxy proxy = new FakeProxy(setup()).withServers();
            String request = proxy.request(FakeProxy.SAFE);
            proxy.balancer.clientGone(proxy.nowUs, request);
            proxy.changeServer("a", 0, ServerStatus.UP);
            proxy.advanceTime(2_000);
            assertEquals(0, proxy.countActions("send"));
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
                FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
                String request = proxy.request(FakeProxy.UNSAFE);
                proxy.endAttempt(request, outcome);
                assertEquals(outcome.provesNotRun ? 2 : 1, proxy.countActions("send " + request),
                        outcome.name());
                if (!outcome.provesNotRun) {
                    assertEquals(1, proxy.countActions("fail " + request), outcome.name());
                    assertEquals(0, proxy.countActions("refuse " + request), outcome.name());
                }
            }
        }

        @Test
        void anOverdueUnsafeCallIsNotHedged() {
            FakeProxy.Setup setup = setup();
            FakeProxy proxy = new FakeProxy(setup).withServers("a", "b", "c");
            proxy.serve();
            String request = proxy.request(FakeProxy.UNSAFE);
            proxy.advanceTime(900);
            assertEquals(1, proxy.countActions("send " + request));
        }

        /**
         * Without hedging, a call whose first attempt is overdue gets no second one until the first has
         * ended; then it is retried as usual.
         */
        @Test
        void withoutHedgingACallHasOneAttemptInFlightAtATime() {
            for (int requestClass : new int[] {FakeProxy.SAFE, FakeProxy.KEYED}) {
                FakeProxy.Setup setup = setup();
                setup.latencyGoalUs = 900 * FakeProxy.MS;
                setup.hedging = false;
                FakeProxy proxy = new FakeProxy(setup).withServers("a", "b", "c");
                proxy.serve();
                String request = proxy.request(requestClass);
                proxy.advanceTime(500);
                assertEquals(1, proxy.countActions("send " + request));
                proxy.endAttempt(request, Outcome.ERROR);
                assertEquals(2, proxy.countActions("send " + request));
                setup.hedging = true;
                proxy = new FakeProxy(setup).withServers("a", "b", "c");
                proxy.serve();
                request = proxy.request(requestClass);
                proxy.advanceTime(500);
                assertTrue(proxy.countActions("send " + request) >= 2,
                        "with hedging, an overdue call gets a second attempt");
            }
        }

        @Test
        void aKeyedCallIsRetriedOnlyInItsDedupZoneAndWindow() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            String request = proxy.request(FakeProxy.KEYED_IN_ZONE);
            String firstServer = proxy.latestServer(request);
            proxy.endAttempt(request, Outcome.ERROR);
            assertEquals("ab".contains(firstServer), "ab".contains(proxy.latestServer(request)));
            assertNotEquals(firstServer, proxy.latestServer(request));
            proxy.endAttempt(request, Outcome.ERROR);
            proxy.advanceTime(1_000);
            assertEquals(2, proxy.countActions("send " + request));
            assertEquals(1, proxy.countActions("fail " + request));
        }

        @Test
        void aKeyedCallIsNotSentAgainAfterItsDedupWindow() {
            FakeProxy.Setup setup = setup();
            setup.latencyGoalUs = 1_000 * MS;
            FakeProxy proxy = new FakeProxy(setup).withServers("a", "b");
            String request = proxy.request(FakeProxy.KEYED);
            proxy.advanceTime(601);
            proxy.endAttempt(request, Outcome.ERROR);
            assertEquals(1, proxy.countActions("send " + request));
        }

        @Test
        void retriesAreBudgeted() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            for (int i = 0; i < 100; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request) == 0) {
                    proxy.endAttempt(request, Outcome.ERROR);
                }
                proxy.advanceTime(20);
            }
            assertTrue(proxy.countActions("send") <= 100 + 5 + 10,
                    "attempts sent for 100 requests: " + proxy.countActions("send"));
        }

        @Test
        void attemptsAreLimited() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d", "e", "f");
            String request = proxy.request(FakeProxy.SAFE);
            while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request) == 0) {
                proxy.endAttempt(request, Outcome.FULL);
            }
            assertEquals(4, proxy.countActions("send " + request));
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
        private FakeProxy proxyWithRestrictedClass(Set<Integer> allowedZones,
                Set<Integer> allowedMachineTypes) {
            FakeProxy.Setup setup = setup();
            setup.extraClasses = List.of(new RequestClass("restricted", 400 * MS, 1_000 * MS, 1, 0,
                    Effect.SAFE,
                    DedupScope.ALL, 0, allowedZones, allowedMachineTypes));
            FakeProxy proxy = new FakeProxy(setup);
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.CACHED, List.of(
                    new Server("a", 0, 0, 0, ServerStatus.UP, 0), new Server("b", 0, 0, 0,
                            ServerStatus.UP, 1),
                    new Server("c", 0, 1, 0, ServerStatus.UP, 0), new Server("d", 0, 1, 0,
                            ServerStatus.UP, 1)));
            return proxy;
        }

        @Test
        void aRestrictedClassUsesOnlyAllowedServersAtEveryAttempt() {
            FakeProxy proxy = proxyWithRestrictedClass(null, Set.of(1));
            for (int i = 0; i < 30; i++) {
                String request = proxy.request(RESTRICTED_CLASS);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, i % 2 == 0 ? Outcome.CONNECT_FAILED : Outcome.FULL);
                }
                proxy.advanceTime(70);
            }
            Set<String> used = new HashSet<>();
            proxy.serversByRequest.values().forEach(used::addAll);
            assertEquals(Set.of("b", "d"), used);
        }

        @Test
        void zoneAndMachineTypeRestrictionsBothApply() {
            FakeProxy proxy = proxyWithRestrictedClass(Set.of(1), Set.of(1));
            for (int i = 0; i < 5; i++) {
                assertEquals("d", proxy.latestServer(proxy.request(RESTRICTED_CLASS)));
            }
        }

        @Test
        void waitsWithoutAnAllowedServerAndEndsInTime() {
            for (Set<Integer> allowedMachineTypes : List.of(Set.<Integer>of(), Set.of(7))) {
                FakeProxy proxy = proxyWithRestrictedClass(null, allowedMachineTypes);
                String request = proxy.request(RESTRICTED_CLASS);
                proxy.advanceTime(1_000);
                assertNull(proxy.latestServer(request));
                assertEquals(1, proxy.countActions("refuse " + request)
                        + proxy.countActions("fail " + request));
            }
        }

        @Test
        void aWaitingCallTakesTheFirstAllowedServer() {
            FakeProxy proxy = proxyWithRestrictedClass(Set.of(3), null);
            String request = proxy.request(RESTRICTED_CLASS);
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.CHANGES, List.of(
                    new Server("e", 0, 3, 0, ServerStatus.UP, 0)));
            proxy.advanceTime(300);
            assertEquals("e", proxy.latestServer(request));
        }
    }

    /** Draining servers get nothing new, and the server list of discovery is followed. */
    @Nested
    class DrainingAndDiscovery {

        @Test
        void sendsNothingToADrainingGoneOrMissingServer() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d");
            proxy.changeServer("a", 0, ServerStatus.DRAINING);
            proxy.changeServer("b", 0, ServerStatus.GONE);
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.FULL, List.of(
                    new Server("a", 0, 0, 0, ServerStatus.DRAINING), new Server("d", 0, 0, 0,
                            ServerStatus.UP)));
            for (int i = 0; i < 10; i++) {
                assertEquals("d", proxy.latestServer(proxy.request(FakeProxy.SAFE)));
                proxy.advanceTime(20);
                proxy.endAttempt("r" + i, Outcome.OK);
            }
        }

        /** Returns a proxy that must close idle connections to a draining server within 1 s. */
        private FakeProxy proxyThatClosesIdleConnections() {
            FakeProxy.Setup setup = setup();
            setup.closeWithinUs = 1_000 * MS;
            return new FakeProxy(setup).withServers("a", "b", "c");
        }

        @Test
        void closesIdleConnectionsWhenADrainIsListedAndAfterTheLastOutcome() {
            FakeProxy proxy = proxyThatClosesIdleConnections();
            List<String> requests =
                    List.of(proxy.request(FakeProxy.SAFE), proxy.request(FakeProxy.SAFE),
                    proxy.request(FakeProxy.SAFE));
            String requestToA = requests.stream().filter(request -> proxy.latestServer(request).equals("a"))
                    .findFirst().orElseThrow();
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.CHANGES, List.of(
                    new Server("a", 0, 0, 0, ServerStatus.DRAINING), new Server("b", 0, 0, 0,
                            ServerStatus.DRAINING)));
            assertEquals(List.of(1, 1, 0),
                    List.of(proxy.countActions("close a"), proxy.countActions("close b"),
                    proxy.countActions("close c")));
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.FULL, List.of(new Server("c", 0, 0, 0,
                    ServerStatus.UP)));
            proxy.advanceTime(100);
            proxy.endAttempt(requestToA, Outcome.OK);
            assertEquals(2, proxy.countActions("close a"),
                    "idle connections were not closed after the last call ended");
        }

        @Test
        void leavesConnectionsOpenWithoutACloseTimeOrOnceTheServerIsUpAgain() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            proxy.changeServer("a", 0, ServerStatus.DRAINING);
            assertEquals(0, proxy.countActions("close"));
            proxy = proxyThatClosesIdleConnections();
            String request = proxy.request(FakeProxy.SAFE);
            String server = proxy.latestServer(request);
            proxy.changeServer(server, 0, ServerStatus.DRAINING);
            proxy.changeServer(server, 0, ServerStatus.UP);
            proxy.endAttempt(request, Outcome.OK);
            assertEquals(1, proxy.countActions("close"));
        }

        @Test
        void aServerThatLeavesAndReturnsKeepsItsCallsInFlight() {
            FakeProxy proxy = proxyThatClosesIdleConnections();
            String request = proxy.request(FakeProxy.SAFE);
            String server = proxy.latestServer(request);
            proxy.changeServer(server, 0, ServerStatus.GONE);
            proxy.changeServer(server, 0, ServerStatus.UP);
            Set<String> taken = new HashSet<>(List.of(proxy.latestServer(proxy.request(FakeProxy.SAFE)),
                    proxy.latestServer(proxy.request(FakeProxy.SAFE))));
            assertFalse(taken.contains(server), "taken for idle with a call in flight");
        }

        @Test
        void retriesDiscoveryWithGrowingBackoff() {
            FakeProxy.Setup setup = setup();
            setup.watch = true;
            FakeProxy proxy = new FakeProxy(setup).withServers("a");
            assertEquals(1, proxy.countActions("watch"));
            long backoffUs = 0;
            for (int i = 1; i < 6; i++) {
                proxy.balancer.discoveryFailed(proxy.nowUs, Balancer.DiscoveryFailure.REFUSED);
                long failedAtUs = proxy.nowUs;
                while (proxy.countActions("watch") == i) {
                    proxy.advanceTime(10);
                }
                backoffUs = proxy.nowUs - failedAtUs;
                assertTrue(backoffUs < 8_000 * MS,
                        "pause before discovery was called again, in us: " + backoffUs);
            }
            assertTrue(backoffUs > 500 * MS, "pause before discovery was called again, in us: " + backoffUs);
        }

        @Test
        void doesNotWatchDiscoveryWhereListsArePushed() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            proxy.balancer.discoveryFailed(proxy.nowUs, Balancer.DiscoveryFailure.REFUSED);
            assertEquals(0, proxy.countActions("watch"));
        }
    }

    /** Lists of hundreds of servers, and events that come twice, late or for servers not listed. */
    @Nested
    class LargeServerLists {

        private static final int SERVER_COUNT = 300;

        /** Returns the last of 400 replicas, with 300 servers listed. */
        private FakeProxy proxyWithManyServers(boolean probes) {
            FakeProxy.Setup setup = setup();
            setup.replicas = 400;
            setup.replicaIndex = 399;
            setup.probes = probes;
            return new FakeProxy(setup).withServers(serverIds(SERVER_COUNT));
        }

        @Test
        void anEmptyListAndAStartTimeThatGoesBackLeaveTheReplicaUsable() {
            for (boolean probes : new boolean[] {false, true}) {
                FakeProxy proxy = proxyWithManyServers(probes);
                String inFlight = proxy.request(FakeProxy.UNSAFE);
                proxy.reportIdle();
                String server = proxy.latestServer(inFlight);
                proxy.balancer.serversChanged(proxy.nowUs, ListKind.FULL, List.of());
                String queued = proxy.request(FakeProxy.SAFE);
                assertNull(proxy.latestServer(queued), "sent to a server that is gone");
                proxy.endAttempt(inFlight, Outcome.OK);
                proxy.changeServer(server, proxy.nowUs, ServerStatus.UP);
                proxy.changeServer(server, 0, ServerStatus.UP);
                proxy.reportIdle();
                assertEquals(server, proxy.latestServer(queued),
                        "the queued call was not sent to the only server left");
                proxy.advanceTime(2_000);
            }
        }

        @Test
        void repeatedAndUnknownOutcomesAreIgnored() {
            FakeProxy proxy = proxyWithManyServers(false);
            String request = proxy.request(FakeProxy.SAFE);
            proxy.endAttempt(request, Outcome.OK);
            int actionsBefore = proxy.actions.size();
            proxy.endAttempt(request, Outcome.RESET);
            proxy.balancer.outcome(proxy.nowUs, "never", 3, "nowhere", Outcome.OK, 1, true, null);
            proxy.balancer.probeResult(proxy.nowUs, "nowhere", Outcome.TIMEOUT, 1, null);
            proxy.balancer.clientGone(proxy.nowUs, request);
            assertEquals(actionsBefore, proxy.actions.size(),
                    "acted on an event for an ended or unknown request");
        }

        @Test
        void aReplicaWhoseWholeSubsetIsGoneUsesOtherServers() {
            FakeProxy proxy = proxyWithManyServers(false);
            Set<String> subset = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                subset.add(proxy.serve());
            }
            subset.forEach(id -> proxy.changeServer(id, 0, ServerStatus.GONE));
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
        private FakeProxy proxyAfterCallsToIdleServers(Outcome outcome) {
            FakeProxy.Setup setup = setup();
            setup.probes = true;
            FakeProxy proxy = new FakeProxy(setup).withServers(serverIds(12));
            for (int i = 0; i < 5; i++) {
                String request = proxy.request(FakeProxy.UNSAFE);
                proxy.reportIdle();
                proxy.endAttempt(request, outcome);
                proxy.reportIdle();
                proxy.advanceTime(1);
            }
            return proxy;
        }

        @Test
        void ignoresLoadReportsForAWhileWhenIdleServersTurnOutFull() {
            FakeProxy proxy = proxyAfterCallsToIdleServers(Outcome.FULL);
            int probesBefore = proxy.countActions("probe");
            assertNotNull(proxy.latestServer(proxy.request(FakeProxy.SAFE)),
                    "the call was not sent at once, without a probe");
            assertEquals(probesBefore, proxy.countActions("probe"));
            proxy.advanceTime(4_000);
            proxy.request(FakeProxy.SAFE);
            assertTrue(proxy.countActions("probe") > probesBefore,
                    "no probe was sent once load reports were trusted again");
        }

        @Test
        void keepsProbingWhileLoadReportsAreAccurate() {
            FakeProxy proxy = proxyAfterCallsToIdleServers(Outcome.OK);
            int probesBefore = proxy.countActions("probe");
            proxy.advanceTime(50);
            proxy.request(FakeProxy.SAFE);
            assertTrue(proxy.countActions("probe") > probesBefore);
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
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            for (int i = 0; i < 3; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                proxy.advanceTime(390);
                proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 390 * MS, true, null);
            }
            assertNull(proxy.latestServer(proxy.request(FakeProxy.SAFE)),
                    "sent to a server that other replicas overload");
            proxy.advanceTime(4_000);
            assertEquals("a", proxy.latestServer(proxy.request(FakeProxy.SAFE)),
                    "the server was not tried again, so its recovery would go unnoticed");
        }

        /**
         * Returns how many of three simultaneous calls are sent at once, to a single server that first served
         * 20 calls one by one in 20 ms each and then 40 calls in {@code laterLatencyMs} each.
         *
         * @param replicas replicas that send to the server, this one included
         */
        private int sentOfThreeCallsAfter(long laterLatencyMs, int replicas) {
            FakeProxy.Setup setup = setup();
            setup.replicas = replicas;
            setup.latencyGoalUs = 900 * MS;
            FakeProxy proxy = new FakeProxy(setup).withServers("a");
            for (int i = 0; i < 60; i++) {
                long latencyMs = i < 20 ? 20 : laterLatencyMs;
                String request = proxy.request(FakeProxy.SAFE);
                proxy.advanceTime(latencyMs);
                proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, latencyMs * MS, true, null);
            }
            for (int i = 0; i < 3; i++) {
                proxy.request(FakeProxy.SAFE);
            }
            return proxy.countActions("send") - 60;
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
        private List<String> logLines(FakeProxy proxy) {
            return proxy.actions.stream().filter(line -> line.startsWith("log "))
                    .map(line -> line.substring(4))
                    .toList();
        }

        @Test
        void logsWhyAServerIsEjectedAndThatCallsWaitButNotForEachCall() {
            FakeProxy.Setup setup = setup();
            setup.maxAttempts = 1;
            FakeProxy proxy = new FakeProxy(setup).withServers("a");
            for (int i = 0; i < 2; i++) {
                proxy.endAttempt(proxy.request(FakeProxy.SAFE), Outcome.CONNECT_FAILED);
            }
            assertEquals(List.of("a is ejected: connections to it fail"), logLines(proxy));
            proxy.request(FakeProxy.UNSAFE);
            assertEquals(1, logLines(proxy).size(), "at most one line is logged in ten seconds");
            proxy.advanceTime(10_000);
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.FULL, List.of());
            proxy.request(FakeProxy.UNSAFE);
            proxy.request(FakeProxy.UNSAFE);
            assertEquals(
                    List.of("UNSAFE-ALL is queued:"
                            + " every server it may use is overloaded, ejected or warming up"),
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
            FakeProxy.Setup setup = setup();
            setup.keepaliveUs = keepaliveUs;
            FakeProxy proxy = new FakeProxy(setup).withServers("a", "b", "c", "d", "e", "f");
            Set<String> connected = new HashSet<>(List.of(proxy.serve(), proxy.serve()));
            String request = proxy.request(FakeProxy.SAFE);
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            connected.add(proxy.latestServer(request));
            proxy.endAttempt(request, Outcome.OK);
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 6; i++) {
                proxy.advanceTime(100);
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
            FakeProxy.Setup setup = setup();
            setup.keepaliveUs = -1;
            Exception exception = assertThrows(IllegalArgumentException.class, () -> new FakeProxy(setup));
            assertTrue(exception.getMessage().contains("limits.keepaliveUs"), exception.getMessage());
        }

        @Test
        void afterSomeSuccessesAllServersAreUsedAgain() {
            FakeProxy.Setup setup = setup();
            setup.keepaliveUs = 10_000 * MS;
            FakeProxy proxy = new FakeProxy(setup).withServers("a", "b", "c", "d");
            String request = proxy.request(FakeProxy.SAFE);
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            proxy.endAttempt(request, Outcome.OK);
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
            FakeProxy.Setup setup = setup();
            setup.probes = probes;
            setup.replicas = SERVER_COUNT;
            setup.replicaIndex = replicaIndex;
            setup.callsPerConnection = callsPerConnection;
            FakeProxy proxy = new FakeProxy(setup, replicaIndex).withServers(serverIds(SERVER_COUNT));
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
                FakeProxy.Setup setup = setup();
                setup.probes = true;
                setup.crossZonePrice = 0.005;
                setup.replicas = SERVER_COUNT;
                setup.replicaIndex = replicaIndex;
                FakeProxy proxy = new FakeProxy(setup, replicaIndex).withServers(serverIds(SERVER_COUNT));
                Set<String> first = Set.of(proxy.serve(), proxy.serve());
                assertEquals(Set.of(serverIds(SERVER_COUNT)[0], serverIds(SERVER_COUNT)[1]), first,
                        "the first two calls did not go to the two servers of its own zone");
            }
        }

        @Test
        void serversOfOtherZonesTakeCallsWhileItsOwnZoneIsOverloaded() {
            FakeProxy.Setup setup = setup();
            setup.crossZonePrice = 0.01;
            setup.replicas = 100;
            FakeProxy proxy = new FakeProxy(setup);
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                servers.add(new Server("s" + i, 0, i < 6 ? 0 : 1, 0, ServerStatus.UP));
            }
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.CACHED, servers);
            for (int i = 0; i < 30; i++) {
                assertTrue(Integer.parseInt(proxy.serve().substring(1)) < 6,
                        "sent to another zone while its own was idle");
            }
            Set<String> usedInOtherZone = new HashSet<>();
            for (int i = 0; i < 30; i++) {
                String server = proxy.latestServer(proxy.request(FakeProxy.SAFE));
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
            FakeProxy.Setup setup = setup();
            setup.replicas = SERVER_COUNT;
            setup.callsPerConnection = 1;
            FakeProxy proxy = new FakeProxy(setup).withServers(serverIds(SERVER_COUNT));
            Set<String> before = new HashSet<>();
            Set<String> after = new HashSet<>();
            for (int i = 0; i < SERVER_COUNT; i++) {
                before.add(proxy.serve());
            }
            for (int i = 0; i < 10 * before.size(); i++) {
                proxy.advanceTime(10);
                String request = proxy.request(FakeProxy.SAFE);
                while (before.contains(proxy.latestServer(request)) && !proxy.hasAction("fail " + request)
                        && !proxy.hasAction("refuse " + request)) {
                    proxy.endAttempt(request, Outcome.CONNECT_FAILED);
                }
                proxy.endAttempt(request, Outcome.OK);
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
                FakeProxy proxy = new FakeProxy(setup(), seed).withServers("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serve();
                }
                proxy.changeServer("new", proxy.nowUs, ServerStatus.UP);
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
                FakeProxy proxy = new FakeProxy(setup(), seed).withServers("a", "b", "c", "d");
                for (int i = 0; i < 20; i++) {
                    proxy.serve();
                }
                proxy.changeServer("new", proxy.nowUs, ServerStatus.UP);
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
                FakeProxy.Setup setup = setup();
                setup.replicas = 200;
                setup.probes = true;
                setup.replicaIndex = replicaIndex;
                FakeProxy proxy = new FakeProxy(setup, replicaIndex).withServers(serverIds(20));
                for (int i = 0; i < 30; i++) {
                    proxy.serve();
                    proxy.advanceTime(1_000);
                }
                proxy.changeServer("new", proxy.nowUs, ServerStatus.UP);
                proxy.advanceTime(serverAgeMs);
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
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            proxy.changeServer("a", proxy.nowUs, ServerStatus.UP);
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
        private FakeProxy.Setup setupWithProbes() {
            FakeProxy.Setup setup = setup();
            setup.probes = true;
            return setup;
        }

        @Test
        void probesTwoServersAndTakesTheFirstIdleOne() {
            FakeProxy proxy = new FakeProxy(setupWithProbes()).withServers("a", "b", "c", "d");
            proxy.reportLoad("d", 3);
            String request = proxy.request(FakeProxy.SAFE);
            assertEquals(2, proxy.countActions("probe"));
            assertNull(proxy.latestServer(request));
            String busy = proxy.actions.get(0).substring(6);
            String idle = proxy.actions.get(1).substring(6);
            proxy.nowUs += MS;
            proxy.reportLoad(busy, 1);
            assertNull(proxy.latestServer(request));
            proxy.reportLoad(idle, 0);
            assertEquals(idle, proxy.latestServer(request));
        }

        @Test
        void aServerThatIsNeverIdleIsNotProbedFirstEachTime() {
            // Hung servers keep their backlog and are never assigned a call. If each call probed them first,
            // the load they report would be taken for that of all others, until nothing was sent any more.
            FakeProxy proxy = new FakeProxy(setupWithProbes())
                    .withServers("a", "b", "c", "d", "e", "f", "g", "h");
            for (int i = 0; i < 60; i++) {
                int nextAction = proxy.actions.size();
                String request = proxy.request(FakeProxy.SAFE);
                proxy.advanceTime(1);
                for (; nextAction < proxy.actions.size(); nextAction++) {
                    String line = proxy.actions.get(nextAction);
                    if (line.startsWith("probe")) {
                        proxy.reportLoad(line.substring(6), line.endsWith("a") || line.endsWith("b") ? 6 : 0);
                    }
                }
                proxy.advanceTime(5);
                assertNotNull(proxy.latestServer(request), "request " + i + " was not sent");
                proxy.advanceTime(50);
                proxy.endAttempt(request, Outcome.OK);
                proxy.advanceTime(500);
            }
            assertTrue(proxy.countActions("probe a") + proxy.countActions("probe b") < 45,
                    "probes of the busy server a: " + proxy.countActions("probe a"));
        }

        @Test
        void probesOneServerAtATimeUnderLightLoad() {
            // Under light load a second probe for each call costs more than it gains.
            FakeProxy proxy = new FakeProxy(setupWithProbes()).withServers("a", "b", "c", "d");
            String request = proxy.request(FakeProxy.SAFE);
            assertEquals(1, proxy.countActions("probe"));
            String probed = proxy.actions.get(0).substring(6);
            proxy.nowUs += MS;
            proxy.reportLoad(probed, 0);
            assertEquals(probed, proxy.latestServer(request));
        }

        /** Returns a proxy after twelve served calls, all of whose probes were answered as idle. */
        private FakeProxy proxyAfterServedCalls(String... servers) {
            FakeProxy proxy = new FakeProxy(setupWithProbes()).withServers(servers);
            for (int i = 0; i < 12; i++) {
                int nextAction = proxy.actions.size();
                String request = proxy.request(FakeProxy.SAFE);
                proxy.advanceTime(1);
                for (; nextAction < proxy.actions.size(); nextAction++) {
                    if (proxy.actions.get(nextAction).startsWith("probe")) {
                        proxy.reportLoad(proxy.actions.get(nextAction).substring(6), 0);
                    }
                }
                proxy.advanceTime(50);
                proxy.endAttempt(request, Outcome.OK);
                proxy.advanceTime(100);
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
        private void answerProbes(FakeProxy proxy, int firstAction, int inFlight, String unreachable) {
            for (int i = firstAction; i < proxy.actions.size(); i++) {
                String[] words = proxy.actions.get(i).split(" ");
                if (words[0].equals("probe") && !unreachable.contains(words[1])) {
                    proxy.reportLoad(words[1], inFlight);
                }
            }
        }

        @Test
        void aServerWithAnUnansweredProbeIsNotTakenNext() {
            // The server that is next in order is probed first. If it does not answer, the call must not be
            // sent to it for being next.
            FakeProxy proxy = proxyAfterServedCalls("a", "b", "c", "d");
            int actionsBefore = proxy.actions.size();
            String request = proxy.request(FakeProxy.SAFE);
            String silentServer = proxy.actions.get(actionsBefore).substring(6);
            proxy.advanceTime(50);
            assertNotNull(proxy.latestServer(request));
            assertNotEquals(silentServer, proxy.latestServer(request));
        }

        @Test
        void serversWithUnansweredProbesComeAfterBusyOnes() {
            // In a zone cut off from the others more than half of the servers are unreachable. Not all of
            // them are ejected, as half of the servers must stay available; the rest would look idle and
            // attract each call that finds the reachable servers busy.
            FakeProxy proxy = proxyAfterServedCalls("a", "b", "c");
            for (String unreachable : List.of("a", "b", "a", "b")) {
                proxy.balancer.probeResult(proxy.nowUs, unreachable, Outcome.TIMEOUT, 50 * MS, null);
            }
            int firstAction = proxy.actions.size();
            String request = proxy.request(FakeProxy.SAFE);
            for (int i = 0; i < 4; i++) {
                proxy.advanceTime(2);
                answerProbes(proxy, firstAction, 1, "a b");
                firstAction = proxy.actions.size();
            }
            proxy.advanceTime(10);
            assertEquals("c", proxy.latestServer(request));
        }

        @Test
        void theNewestQueuedCallGoesFirstAndNoneThatWouldProbablyBeLate() {
            // Sent in the order of arrival, under overload each call would be sent at the last moment and
            // most responses would be late.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            List<String> sent = new ArrayList<>();
            List<String> queued = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                (proxy.latestServer(request) == null ? queued : sent).add(request);
            }
            assertTrue(queued.size() > 1, "queued: " + queued);
            proxy.advanceTime(100);
            proxy.endAttempt(sent.get(0), Outcome.OK);
            String newest = queued.get(queued.size() - 1);
            for (int i = 1; i < sent.size() && proxy.latestServer(newest) == null; i++) {
                proxy.endAttempt(sent.get(i), Outcome.OK);
            }
            assertNotNull(proxy.latestServer(newest));
            assertNull(proxy.latestServer(queued.get(0)));
            proxy.advanceTime(260);
            for (String request : sent) {
                proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 360 * MS, true, null);
            }
            for (String request : queued) {
                assertTrue(proxy.latestServer(request) != null || proxy.hasAction("refuse " + request)
                        || proxy.hasAction("fail " + request), request);
            }
            assertNull(proxy.latestServer(queued.get(0)), "sent with 40 of 400 ms left");
        }

        @Test
        void sendsACallThoughNoProbeIsAnswered() {
            FakeProxy proxy = new FakeProxy(setupWithProbes()).withServers("a", "b", "c", "d");
            String request = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(50);
            assertNotNull(proxy.latestServer(request));
        }

        @Test
        void sendsNoProbesWhereTheyAreNotAllowed() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            proxy.serve();
            assertEquals(0, proxy.countActions("probe"));
        }

        @Test
        void sendsNothingThatCouldNotBeAnsweredInTime() {
            // Queues of late work at every replica would keep the whole tier busy with responses that miss
            // the latency goal.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            for (int i = 0; i < 60; i++) {
                proxy.request(FakeProxy.SAFE);
            }
            int sent = proxy.countActions("send") - 10;
            assertTrue(sent < 12, "sent at once: " + sent);
            proxy.advanceTime(1_000);
            assertEquals(60, sent + proxy.countActions("fail") + proxy.countActions("refuse")
                    + proxy.countActions("send") - 10
                    - sent);
        }

        @Test
        void overQuotaRequestsAreRefusedWhileNoServerIsIdle() {
            // Under overload, over-quota requests, which have little value, would displace those within
            // quota.
            FakeProxy.Setup setup = setup();
            setup.quotaPerSecond = 10;
            FakeProxy proxy = new FakeProxy(setup).withServers("a", "b");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            for (int i = 0; i < 60; i++) {
                String request = proxy.request(FakeProxy.SAFE, 1);
                assertNotNull(proxy.latestServer(request),
                        "an over-quota request must be sent while a server is idle");
                proxy.advanceTime(1);
                proxy.endAttempt(request, Outcome.OK);
            }
            proxy.request(FakeProxy.SAFE);
            proxy.request(FakeProxy.SAFE);
            String overQuota = proxy.request(FakeProxy.SAFE, 1);
            assertTrue(proxy.hasAction("refuse " + overQuota),
                    "an over-quota request was not refused although no server is idle");
            assertNotNull(proxy.latestServer(proxy.request(FakeProxy.SAFE)),
                    "requests of a tenant without a quota must still be sent");
            proxy.advanceTime(10_000);
            proxy.request(FakeProxy.SAFE);
            proxy.request(FakeProxy.SAFE);
            assertNotNull(proxy.latestServer(proxy.request(FakeProxy.SAFE, 1)),
                    "after a pause the tenant is within its quota again");
        }

        /** Returns how many of 40 simultaneous calls are sent to two servers that served 30 calls before. */
        private int sentAtOnce(FakeProxy.Setup setup, int requestClass) {
            FakeProxy proxy = new FakeProxy(setup).withServers("a", "b");
            for (int i = 0; i < 30; i++) {
                proxy.serve();
            }
            for (int i = 0; i < 40; i++) {
                proxy.request(requestClass);
            }
            return proxy.countActions("send") - 30;
        }

        @Test
        void aMoreValuableCallIsSentWhereTheLeastValuableMustWait() {
            FakeProxy.Setup setup = setup();
            setup.extraClasses = List.of(new RequestClass("valuable", 400 * MS, 1_000 * MS, 10, 0,
                    Effect.SAFE,
                    DedupScope.ALL, 0));
            FakeProxy proxy = new FakeProxy(setup).withServers("a");
            for (int i = 0; i < 20; i++) {
                proxy.serve();
            }
            String lastRequest = proxy.request(FakeProxy.SAFE);
            for (int i = 0; i < 20 && proxy.latestServer(lastRequest) != null; i++) {
                lastRequest = proxy.request(FakeProxy.SAFE);
            }
            assertNull(proxy.latestServer(lastRequest),
                    "calls of the least valuable class are sent without limit");
            assertNotNull(proxy.latestServer(proxy.request(4)),
                    "a more valuable call was queued like the least valuable ones");
        }

        @Test
        void classesWithALongerGoalDoNotDisplaceOthersUnlessMoreValuable() {
            // Calls with a longer latency goal would fill all servers until none had room for those with a
            // shorter one, and the servers would be overloaded.
            FakeProxy.Setup setup = setup();
            setup.extraClasses = List.of(
                    new RequestClass("long", 800 * MS, 1_000 * MS, 1, 0, Effect.SAFE, DedupScope.ALL, 0),
                    new RequestClass("valuable", 800 * MS, 1_000 * MS, 2, 0, Effect.SAFE, DedupScope.ALL, 0));
            int sentWithUsualGoal = sentAtOnce(setup, FakeProxy.SAFE);
            assertEquals(sentWithUsualGoal, sentAtOnce(setup, 4));
            assertTrue(sentAtOnce(setup, 5) > sentWithUsualGoal);
        }

        @Test
        void aLastRetryWhoseLatencyGoalHasPassedIsNotSent() {
            // The time left of a client's last try is all that is left of its deadline, which shows when its
            // first try was made. Without this check, overloaded servers would work on responses that miss
            // the latency goal by far.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            long firstTryUs = 600 * MS;
            proxy.balancer.request(proxy.nowUs,
                    new Request("first", FakeProxy.SAFE, 0, firstTryUs, 0, false));
            proxy.balancer.request(proxy.nowUs, new Request("again", FakeProxy.SAFE, 0, firstTryUs, 0, true));
            proxy.balancer.request(proxy.nowUs, new Request("soon", FakeProxy.SAFE, 0, 900 * MS, 0, true));
            proxy.balancer.request(proxy.nowUs, new Request("late", FakeProxy.SAFE, 0, 500 * MS, 0, true));
            assertNotNull(proxy.latestServer("first"));
            assertNotNull(proxy.latestServer("again"),
                    "a retry with the time of a first try does not show when that one was made");
            assertNotNull(proxy.latestServer("soon"), "100 of the 400 ms of the latency goal have passed");
            assertNull(proxy.latestServer("late"),
                    "500 ms have passed, more than the latency goal of 400 ms");
            assertTrue(proxy.hasAction("fail late") || proxy.hasAction("refuse late"));
        }

        @Test
        void anOverdueCallDelaysItsServersNextUseBeyondItsDegradation() {
            // A replica with few calls uses each server less often than a degradation lasts. If nothing else
            // delayed the next use, overloaded servers would keep their full share of the calls.
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c", "d", "e", "f");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
                proxy.advanceTime(700);
            }
            String overdueRequest = proxy.request(FakeProxy.UNSAFE);
            String slowServer = proxy.latestServer(overdueRequest);
            proxy.advanceTime(700);
            proxy.endAttempt(overdueRequest, Outcome.OK);
            proxy.advanceTime(3_000);
            for (int i = 0; i < 8; i++) {
                assertNotEquals(slowServer, proxy.serve(), "call " + i + " after the overdue one");
                proxy.advanceTime(700);
            }
        }

        @Test
        void aSlowPeriodDoesNotStopLaterCallsFromBeingSent() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            for (int i = 0; i < 40; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                proxy.advanceTime(900);
                if (proxy.latestServer(request) != null) {
                    proxy.balancer.outcome(proxy.nowUs, request, 0, proxy.latestServer(request), Outcome.OK,
                            900 * MS, true, null);
                }
            }
            int sentBefore = proxy.countActions("send");
            for (int i = 0; i < 300; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                proxy.advanceTime(50);
                if (proxy.latestServer(request) != null) {
                    proxy.endAttempt(request, Outcome.OK);
                }
            }
            assertTrue(proxy.countActions("send") - sentBefore > 100,
                    "calls sent after the slow period: " + (proxy.countActions("send") - sentBefore));
        }
    }

    @Test
    void invalidSettingsAreRejectedByName() {
        FakeProxy.Setup setup = setup();
        setup.maxAttempts = 0;
        var exception = assertThrows(IllegalArgumentException.class, () -> new FakeProxy(setup));
        assertTrue(exception.getMessage().startsWith("limits.maxAttempts"), exception.getMessage());
        setup.maxAttempts = 1;
        setup.coldFrom = 0;
        exception = assertThrows(IllegalArgumentException.class, () -> new FakeProxy(setup));
        assertTrue(exception.getMessage().startsWith("rules.coldFrom"), exception.getMessage());
        assertThrows(IllegalArgumentException.class, () -> new LeastLoadedBalancer(null, 1, null));
        assertFalse(new FakeProxy(setup()).hasAction("anything"));
    }

    /** Queued calls are reconsidered once a server becomes available to them or their time runs short. */
    @Nested
    class QueuedCalls {

        /** Index of the first class added to the four usual ones. */
        private static final int FIRST_ADDED_CLASS = 4;
        /** Index of the second class added to the four usual ones. */
        private static final int SECOND_ADDED_CLASS = 5;

        /** Returns a proxy with four servers that have their full capacity at once when they start. */
        private FakeProxy proxyWithoutSlowStart(RequestClass... addedClasses) {
            FakeProxy.Setup setup = setup();
            setup.coldFrom = 1;
            setup.extraClasses = List.of(addedClasses);
            return new FakeProxy(setup).withServers("a", "b", "c", "d");
        }

        private RequestClass requestClass(Effect effect, DedupScope dedupScope, Set<Integer> allowedZones) {
            return new RequestClass("added", 400 * MS, 1_000 * MS, 1, 0, effect, dedupScope, 600 * MS,
                    allowedZones, null);
        }

        private void disable(FakeProxy proxy, String... servers) {
            for (String server : servers) {
                proxy.balancer.disable(proxy.nowUs, server);
            }
        }

        @Test
        void theNewestGoToTheFreedServerAtEachOutcome() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            for (int i = 0; i < 12; i++) {
                proxy.serve();
            }
            List<String> sent = new ArrayList<>();
            List<String> queued = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                String request = proxy.request(FakeProxy.SAFE);
                (proxy.latestServer(request) == null ? queued : sent).add(request);
            }
            for (int i = 0; i < 4; i++) {
                proxy.endAttempt(sent.get(i), Outcome.OK);
                int queuedBefore = queued.size();
                while (!queued.isEmpty() && proxy.latestServer(queued.get(queued.size() - 1)) != null) {
                    sent.add(queued.remove(queued.size() - 1));
                }
                assertTrue(queued.size() < queuedBefore, "outcome " + i + " sent no queued call");
                assertTrue(queued.stream().allMatch(request -> proxy.latestServer(request) == null),
                        "outcome " + i + " sent an older call before a newer one");
            }
        }

        @Test
        void eachIsEndedAsSoonAsItsTimeRunsShort() {
            FakeProxy proxy = proxyWithoutSlowStart();
            proxy.serve();
            disable(proxy, "a", "b", "c", "d");
            Map<String, Long> receivedAtUs = new HashMap<>();
            Map<String, Long> waitedUs = new HashMap<>();
            for (int ms = 0; ms < 1_000; ms++) {
                if (ms % 5 == 0 && ms < 500) {
                    receivedAtUs.put(proxy.request(ms % 10 == 0 ? FakeProxy.SAFE : FakeProxy.UNSAFE),
                            proxy.nowUs);
                }
                proxy.advanceTime(1);
                proxy.actions.stream().filter(line -> line.startsWith("refuse ") || line.startsWith("fail "))
                        .map(line -> line.substring(line.indexOf(' ') + 1))
                        .forEach(request -> waitedUs.putIfAbsent(request,
                        proxy.nowUs - receivedAtUs.get(request)));
            }
            assertEquals(receivedAtUs.keySet(), waitedUs.keySet());
            // A call is useful for 400 ms and is given up when less than 1.4 times the usual 50 ms of a call
            // is left, so after 330 ms.
            assertTrue(waitedUs.values().stream().allMatch(us -> us >= 329 * MS && us <= 332 * MS),
                    "times waited in us: " + waitedUs.values());
        }

        @Test
        void aServerIsUsedAsSoonAsItsEjectionExpires() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            for (int i = 0; i < 2; i++) {
                proxy.endAttempt(proxy.request(FakeProxy.SAFE), Outcome.CONNECT_FAILED);
                proxy.advanceTime(i == 0 ? 1_000 : 2_900);
            }
            String first = proxy.request(FakeProxy.SAFE);
            String second = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(98);
            assertNull(proxy.latestServer(first));
            proxy.advanceTime(4);
            assertEquals("a", proxy.latestServer(first));
            assertEquals("a", proxy.latestServer(second));
        }

        @Test
        void aReenabledServerIsUsedAtOnce() {
            FakeProxy proxy = proxyWithoutSlowStart();
            disable(proxy, "a", "b", "c", "d");
            List<String> queued = List.of(proxy.request(FakeProxy.SAFE), proxy.request(FakeProxy.UNSAFE));
            proxy.balancer.enable(proxy.nowUs, "c");
            queued.forEach(request -> assertEquals("c", proxy.latestServer(request)));
        }

        /** Newer queued calls that may not use the server, however many, must not block one that may. */
        @Test
        void aReenabledServerGetsTheCallsThatMayUseIt() {
            FakeProxy proxy = proxyWithoutSlowStart(requestClass(Effect.SAFE, DedupScope.ALL, Set.of(0)),
                    requestClass(Effect.SAFE, DedupScope.ALL, Set.of(1)));
            disable(proxy, "a", "b", "c", "d");
            String allowedInZone0 = proxy.request(FIRST_ADDED_CLASS);
            List<String> allowedInZone1 = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                allowedInZone1.add(proxy.request(SECOND_ADDED_CLASS));
            }
            proxy.balancer.enable(proxy.nowUs, "a");
            assertEquals("a", proxy.latestServer(allowedInZone0));
            allowedInZone1.forEach(request -> assertNull(proxy.latestServer(request)));
        }

        @Test
        void aQueuedRetryGoesOnlyToItsDedupCell() {
            FakeProxy proxy = proxyWithoutSlowStart(requestClass(Effect.KEYED, DedupScope.CELL, null));
            disable(proxy, "b", "d");
            Map<String, String> firstServers = new HashMap<>();
            for (int i = 0; i < 4; i++) {
                String request = proxy.request(FIRST_ADDED_CLASS);
                firstServers.put(request, proxy.latestServer(request));
            }
            assertEquals(Set.of("a", "c"), new HashSet<>(firstServers.values()));
            firstServers.keySet().forEach(request -> proxy.endAttempt(request, Outcome.RESET));
            proxy.balancer.enable(proxy.nowUs, "b");
            firstServers.forEach((request, firstServer) ->
                    assertEquals(firstServer.equals("a") ? "b" : "c", proxy.latestServer(request)));
            proxy.balancer.enable(proxy.nowUs, "d");
            firstServers.forEach((request, firstServer) ->
                    assertEquals(firstServer.equals("a") ? "b" : "d", proxy.latestServer(request)));
        }
    }

    /** Servers that an operator disables. */
    @Nested
    class DisabledServers {

        @Test
        void aDisabledServerGetsNoRequests() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            proxy.balancer.disable(proxy.nowUs, "a");
            assertTrue(proxy.balancer.isDisabled("a"));
            for (int i = 0; i < 6; i++) {
                assertEquals("b", proxy.latestServer(proxy.request(FakeProxy.SAFE)));
            }
        }

        /** Neither a change list nor a full list nor a restart of the server enables it again. */
        @Test
        void staysDisabledWhateverListsSay() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            proxy.balancer.disable(proxy.nowUs, "a");
            proxy.changeServer("a", 0, ServerStatus.GONE);
            proxy.changeServer("a", proxy.nowUs, ServerStatus.UP);
            assertEquals("b", proxy.serve());
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.FULL, List.of(
                    new Server("a", proxy.nowUs - 1, 0, 0, ServerStatus.UP),
                    new Server("b", 0, 0, 0, ServerStatus.UP)));
            proxy.advanceTime(20_000);
            for (int i = 0; i < 6; i++) {
                assertEquals("b", proxy.serve());
            }
        }

        @Test
        void retriesAreNotSentToADisabledServer() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            String call = proxy.request(FakeProxy.SAFE);
            String otherServer = proxy.latestServer(call).equals("a") ? "b" : "a";
            proxy.balancer.disable(proxy.nowUs, otherServer);
            proxy.endAttempt(call, Outcome.CONNECT_FAILED);
            assertEquals(1, proxy.attemptCounts.get(call),
                    "the call was retried although the only other server is disabled");
        }

        @Test
        void callsWaitWhileAllAreDisabledUntilOneIsEnabled() {
            FakeProxy.Setup withoutSlowStart = setup();
            withoutSlowStart.coldFrom = 1;
            FakeProxy proxy = new FakeProxy(withoutSlowStart).withServers("a", "b");
            proxy.balancer.disable(proxy.nowUs, "a");
            proxy.balancer.disable(proxy.nowUs, "b");
            String call = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(100);
            assertNull(proxy.latestServer(call));
            proxy.balancer.enable(proxy.nowUs, "b");
            proxy.advanceTime(100);
            assertEquals("b", proxy.latestServer(call));
        }

        @Test
        void callsAreEndedWhereAllStayDisabled() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            proxy.balancer.disable(proxy.nowUs, "a");
            String call = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(2_000);
            assertNull(proxy.latestServer(call));
            assertEquals(1, proxy.countActions("refuse " + call) + proxy.countActions("fail " + call));
        }

        /** A disabled server was most likely restarted, so it can take only a new server's share. */
        @Test
        void oneEnableEndsSeveralDisablesAndBeginsASlowStart() {
            FakeProxy.Setup withSlowStart = setup();
            withSlowStart.coldFrom = 0.1;
            FakeProxy proxy = new FakeProxy(withSlowStart).withServers("a", "b", "c");
            for (int i = 0; i < 30; i++) {
                proxy.serve();
            }
            proxy.balancer.disable(proxy.nowUs, "a");
            proxy.balancer.disable(proxy.nowUs, "a");
            proxy.balancer.enable(proxy.nowUs, "a");
            assertFalse(proxy.balancer.isDisabled("a"));
            int callsDuringSlowStart = 0;
            for (int i = 0; i < 30; i++) {
                callsDuringSlowStart += proxy.serve().equals("a") ? 1 : 0;
            }
            assertTrue(callsDuringSlowStart > 0 && callsDuringSlowStart < 8,
                    "a reenabled server got " + callsDuringSlowStart + " of 30 calls");
            proxy.advanceTime(8_000);
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
            FakeProxy.Setup fourReplicas = setup();
            fourReplicas.replicas = 4;
            FakeProxy proxy = new FakeProxy(fourReplicas).withServers("a", "b", "c", "d", "e", "f", "g");
            Set<String> subset = new HashSet<>();
            for (int i = 0; i < 40; i++) {
                subset.add(proxy.serve());
            }
            assertEquals(5, subset.size());
            for (String server : List.of("a", "b", "c", "d", "e", "f", "g")) {
                proxy.balancer.disable(proxy.nowUs, server);
                proxy.advanceTime(100);
                proxy.balancer.enable(proxy.nowUs, server);
                int requestsBefore = proxy.serversByRequest.size();
                Set<String> used = new HashSet<>();
                for (int i = 0; i < 60 && !used.contains(server); i++) {
                    used.add(proxy.serve());
                }
                assertTrue(used.contains(server),
                        server + " got no call; requests sent: "
                        + (proxy.serversByRequest.size() - requestsBefore));
            }
            Set<String> usedLater = new HashSet<>();
            proxy.advanceTime(8_000);
            for (int i = 0; i < 40; i++) {
                usedLater.add(proxy.serve());
            }
            assertEquals(subset, usedLater, "the replica does not use its subset again");
        }

        /** The list may show only after the enable that the server was restarted, or that it was gone. */
        @Test
        void aReenabledServerGetsACallSoonThoughItsRestartIsListedLater() {
            for (boolean listedAsGone : List.of(false, true)) {
                FakeProxy.Setup fourReplicas = setup();
                fourReplicas.replicas = 4;
                FakeProxy proxy = new FakeProxy(fourReplicas).withServers("a", "b", "c", "d", "e", "f", "g");
                Set<String> subset = new HashSet<>();
                for (int i = 0; i < 40; i++) {
                    subset.add(proxy.serve());
                }
                for (String server : List.of("a", "b", "c", "d", "e", "f", "g")) {
                    proxy.balancer.disable(proxy.nowUs, server);
                    if (listedAsGone) {
                        proxy.changeServer(server, 0, ServerStatus.GONE);
                    }
                    proxy.balancer.enable(proxy.nowUs, server);
                    proxy.advanceTime(50);
                    proxy.changeServer(server, proxy.nowUs, ServerStatus.UP);
                    boolean used = false;
                    for (int i = 0; i < 100 && !used; i++) {
                        String call = proxy.request(FakeProxy.SAFE);
                        if (proxy.latestServer(call) != null) {
                            used = proxy.latestServer(call).equals(server);
                            proxy.endAttempt(call, Outcome.OK);
                        }
                        proxy.advanceTime(40);
                    }
                    assertTrue(used, server + " got no call; was listed as gone: " + listedAsGone);
                    proxy.advanceTime(20_000);
                }
            }
        }

        /** Failures of the process that was disabled say nothing about the one that runs after the enable. */
        @Test
        void aReenabledServerIsNotKeptEjected() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b");
            for (int i = 0; i < 4; i++) {
                String call = proxy.request(FakeProxy.SAFE);
                if (proxy.latestServer(call).equals("a")) {
                    proxy.endAttempt(call, Outcome.CONNECT_FAILED);
                }
                if (proxy.latestServer(call).equals("b")) {
                    proxy.endAttempt(call, Outcome.OK);
                }
                proxy.advanceTime(10);
            }
            proxy.balancer.disable(proxy.nowUs, "a");
            proxy.balancer.enable(proxy.nowUs, "a");
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 10; i++) {
                used.add(proxy.serve());
            }
            assertEquals(Set.of("a", "b"), used);
        }

        @Test
        void idleConnectionsAreClosedAtOnceAndAfterTheLastCall() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            String call = proxy.request(FakeProxy.SAFE);
            proxy.balancer.disable(proxy.nowUs, "a");
            assertEquals(1, proxy.countActions("close a"));
            proxy.endAttempt(call, Outcome.OK);
            assertEquals(2, proxy.countActions("close a"));
        }

        @Test
        void serversAreKnownOnceListedAndAreCounted() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            assertFalse(proxy.balancer.knows("z"));
            proxy.changeServer("d", 0, ServerStatus.DRAINING);
            proxy.changeServer("c", 0, ServerStatus.GONE);
            assertTrue(proxy.balancer.knows("c"), "a server that was listed once must stay known");
            assertEquals(new Balancer.ServerCounts(3, 1), proxy.balancer.serverCounts(proxy.nowUs));
            proxy.balancer.disable(proxy.nowUs, "a");
            proxy.balancer.disable(proxy.nowUs, "c");
            assertEquals(new Balancer.ServerCounts(3, 2), proxy.balancer.serverCounts(proxy.nowUs));
            proxy.balancer.enable(proxy.nowUs, "a");
            assertEquals(new Balancer.ServerCounts(3, 1), proxy.balancer.serverCounts(proxy.nowUs));
        }

        /** A new process of the proxy takes over disabled servers before it has received a server list. */
        @Test
        void aServerMayBeDisabledBeforeItIsListed() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("b");
            proxy.balancer.disable(proxy.nowUs, "a");
            assertTrue(proxy.balancer.knows("a"));
            proxy.changeServer("a", 0, ServerStatus.UP);
            proxy.advanceTime(20_000);
            assertEquals("b", proxy.serve());
            assertEquals("b", proxy.serve());
        }

        /** New server names keep coming, so names must not be remembered without limit. */
        @Test
        void namesOfServersLongGoneAreForgotten() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a");
            for (int i = 0; i < 5_000; i++) {
                proxy.changeServer("s" + i, 0, ServerStatus.UP);
                proxy.changeServer("s" + i, 0, ServerStatus.GONE);
            }
            assertTrue(proxy.balancer.knows("a"));
            assertTrue(proxy.balancer.knows("s4999"));
            assertFalse(proxy.balancer.knows("s0"));
        }
    }

    /** Requests too long to be buffered, and responses that are forwarded while they arrive. */
    @Nested
    class StreamedBodies {

        /** Starts a request whose body is still arriving and returns its id. */
        private String startIncompleteRequest(FakeProxy proxy, int requestClass) {
            String id = "long" + proxy.actions.size();
            proxy.balancer.request(proxy.nowUs, new Request(id, requestClass, 0, 1_000 * MS, 0, false, true));
            return id;
        }

        /** However long a request takes to arrive, none of its attempts is overdue before its last byte. */
        @Test
        void attemptsBecomeOverdueOnlyAfterTheLastByte() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            String call = startIncompleteRequest(proxy, FakeProxy.SAFE);
            proxy.advanceTime(900);
            assertEquals(1, proxy.attemptCounts.get(call), "hedged although the request is still arriving");
            proxy.balancer.requestComplete(proxy.nowUs, call, 1_000 * MS);
            proxy.advanceTime(900);
            assertEquals(2, proxy.attemptCounts.get(call),
                    "an overdue call was not hedged after its request was complete");
            assertFalse(proxy.hasAction("fail " + call) || proxy.hasAction("refuse " + call));
        }

        @Test
        void aBufferedBodyIsRetriedAndADiscardedOneIsNot() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            String buffered = startIncompleteRequest(proxy, FakeProxy.UNSAFE);
            proxy.endAttempt(buffered, Outcome.CONNECT_FAILED);
            assertEquals(2, proxy.attemptCounts.get(buffered));
            String discarded = startIncompleteRequest(proxy, FakeProxy.UNSAFE);
            proxy.balancer.bodyDiscarded(proxy.nowUs, discarded);
            proxy.endAttempt(discarded, Outcome.CONNECT_FAILED);
            assertEquals(1, proxy.attemptCounts.get(discarded));
            assertTrue(proxy.hasAction("refuse " + discarded),
                    "the call cannot have run, so its client must be told that it may retry");
        }

        @Test
        void aDiscardedBodyIsNotHedged() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            String call = startIncompleteRequest(proxy, FakeProxy.SAFE);
            proxy.balancer.bodyDiscarded(proxy.nowUs, call);
            proxy.balancer.requestComplete(proxy.nowUs, call, 1_000 * MS);
            proxy.advanceTime(900);
            assertEquals(1, proxy.attemptCounts.get(call));
        }

        @Test
        void aStartedResponseIsCommittedAndOtherAttemptsAreCancelled() {
            FakeProxy proxy = new FakeProxy(setup()).withServers("a", "b", "c");
            for (int i = 0; i < 10; i++) {
                proxy.serve();
            }
            String call = proxy.request(FakeProxy.SAFE);
            proxy.advanceTime(500);
            assertEquals(2, proxy.attemptCounts.get(call));
            proxy.balancer.streamStarted(proxy.nowUs, call, 0, proxy.serversByRequest.get(call).get(0),
                    500 * MS);
            assertFalse(proxy.hasAction("cancel " + call + " 0"));
            assertTrue(proxy.hasAction("cancel " + call + " 1"));
            proxy.balancer.outcome(proxy.nowUs, call, 1, proxy.serversByRequest.get(call).get(1),
                    Outcome.CANCELLED, 1, true, null);
            proxy.advanceTime(5_000);
            proxy.balancer.outcome(proxy.nowUs, call, 0, proxy.serversByRequest.get(call).get(0),
                    Outcome.RESET, 500 * MS, true, null);
            assertEquals(2, proxy.attemptCounts.get(call));
            assertEquals(0, proxy.countActions("fail") + proxy.countActions("refuse")
                    + proxy.countActions("cancel " + call + " 0"));
        }
    }
}
