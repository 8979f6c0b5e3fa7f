package passhatch.lab.control;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The limit of file descriptors of this process. */
final class FileDescriptors {

    private FileDescriptors() { }

    /**
     * Returns how many more descriptors may be opened, or {@link Long#MAX_VALUE} if the system does not
     * report it.
     */
    static long available() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount() - system.getOpenFileDescriptorCount() : Long.MAX_VALUE;
    }
}
