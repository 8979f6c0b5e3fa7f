package passhatch.proxy;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.function.BooleanSupplier;

/**
 * Creates the thread of the event loop, and reports its end if nobody asked for it: an Error outside the
 * handlers of a connection ends the event loop, and nothing starts it again.
 */
final class EventLoopThreadFactory extends DefaultThreadFactory {

    private final BooleanSupplier shouldRun;
    private final Runnable onUnexpectedEnd;

    /**
     * Creates a factory.
     *
     * @param shouldRun whether the event loop should still run when its thread ends
     * @param onUnexpectedEnd called in the thread of the event loop if it ends although it should run
     */
    EventLoopThreadFactory(BooleanSupplier shouldRun, Runnable onUnexpectedEnd) {
        super("proxy");
        this.shouldRun = shouldRun;
        this.onUnexpectedEnd = onUnexpectedEnd;
    }

    @Override
    protected Thread newThread(Runnable eventLoop, String name) {
        return super.newThread(() -> {
            try {
                eventLoop.run();
            } finally {
                if (shouldRun.getAsBoolean()) {
                    onUnexpectedEnd.run();
                }
            }
        }, name);
    }
}
