package passhatch.proxy;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends a JVM without a handler. The JDK offers signal handlers only in
 * {@code sun.misc} (module jdk.unsupported). Naming these classes in the source causes a warning that no
 * annotation suppresses, so this class, and no other, uses them by reflection.
 */
final class HangUpSignal {

    private HangUpSignal() { }

    /**
     * Runs the action at each SIGHUP from now on, on a thread of the JVM. A JVM that was started with the
     * signal ignored, as by nohup, keeps ignoring it without an error and never runs the action. The process
     * cannot change that, so the command that starts it has to restore the signal's default action.
     *
     * @return false if no handler could be installed or the signal is ignored; then the signal keeps its
     *     effect
     */
    static boolean onEach(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            InvocationHandler runAction = (self, method, args) -> {
                action.run();
                return null;
            };
            Object previousHandler = signalClass.getMethod("handle", signalClass, handlerClass).invoke(null,
                    signalClass.getConstructor(String.class).newInstance("HUP"),
                    Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] {handlerClass},
                            runAction));
            return previousHandler != handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
