package passhatch.lab.control;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** File descriptors that this process may still open. */
final class FileDescriptors {

    private FileDescriptors() { }

    /** How many; where the system does not tell, as many as one could want. */
    static long available() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount() - system.getOpenFileDescriptorCount() : Long.MAX_VALUE;
    }
}
