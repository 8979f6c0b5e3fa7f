package passhatch.proxy;

/**
 * What Netty is told before its classes load, unless the command line says otherwise. A proxy starts on part
 * of a core while its clients or its server wait for it, so nothing is set up that it never uses.
 */
final class NettyDefaults {

    private NettyDefaults() { }

    static void apply() {
        // At the first buffer Netty would start the JDK's flight recorder for its own events: a third of a
        // start's processor time, whether anybody records or not.
        setIfAbsent("io.netty.jfr.enabled", "false");
    }

    private static void setIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
