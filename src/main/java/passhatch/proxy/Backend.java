package passhatch.proxy;

import passhatch.proxy.BackendPool.Target;

/**
 * A backend process at its address. It is kept from when it is listed until it is off the list and has no
 * attempt or probe in flight.
 */
final class Backend {
    final Target target;
    final long startedAtUs;
    /** Whether discovery lists it as up, so neither draining nor removed. */
    boolean available;
    /** When it stopped being available; {@link Long#MAX_VALUE} if it is or never was available. */
    long unavailableSinceUs = Long.MAX_VALUE;
    boolean listed = true;
    /** Number of attempts and probes in flight. */
    int inFlight;

    Backend(Target target, long startedAtUs) {
        this.target = target;
        this.startedAtUs = startedAtUs;
    }

    void setAvailable(boolean isAvailable, long nowUs) {
        if (isAvailable) {
            unavailableSinceUs = Long.MAX_VALUE;
        } else if (available) {
            unavailableSinceUs = nowUs;
        }
        available = isAvailable;
    }

    /** How long it has been unavailable, in microseconds; -1 if it is or never was available. */
    long unavailableForUs(long nowUs) {
        return unavailableSinceUs == Long.MAX_VALUE ? -1 : nowUs - unavailableSinceUs;
    }

    /** Whether the id, address and start time given are those of this process. */
    boolean isSameProcess(Target otherTarget, long otherStartedAtUs) {
        return target.equals(otherTarget) && startedAtUs == otherStartedAtUs;
    }
}
