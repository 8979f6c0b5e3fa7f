package passhatch.proxy;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;

/**
 * One event loop that looks at its sockets and timers at short intervals, however many tasks are queued. By
 * default Netty runs tasks for a second before that, so the tasks of a few busy connections would keep the
 * others from being read.
 */
final class FairEventLoopGroup extends MultiThreadIoEventLoopGroup {

    /** Time for which tasks run before sockets and timers get their turn. */
    private static final long MAX_TASK_TIME_MS = 5;

    /** Creates a group whose only thread comes from the factory. */
    FairEventLoopGroup(ThreadFactory threadFactory) {
        super(1, threadFactory, NioIoHandler.newFactory());
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandlerFactory, Object... args) {
        return new SingleThreadIoEventLoop(this, executor, ioHandlerFactory, Integer.MAX_VALUE,
                RejectedExecutionHandlers.reject(), MAX_TASK_TIME_MS);
    }
}
