package passhatch.proxy;

/**
 * System properties for Netty, which must be set before its classes are loaded; the command line overrides
 * them. A proxy starts on a fraction of a core while clients or a backend wait for it, so parts of Netty
 * that the proxy never uses are not initialized.
 */
final class NettyDefaults {

    private NettyDefaults() { }

    /** Sets the properties that have no value yet. */
    static void apply() {
        // With the first buffer Netty would initialize the JDK's flight recorder for its own events, which
        // takes a third of the processor time of a start, even if nothing is recorded.
        setIfAbsent("io.netty.jfr.enabled", "false");
    }

    private static void setIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
