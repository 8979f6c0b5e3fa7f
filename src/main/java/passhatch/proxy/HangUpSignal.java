package passhatch.proxy;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a JVM that does not handle it. The JDK offers signals in {@code sun.misc} alone
 * (module jdk.unsupported); naming its classes in the source gives a warning that no annotation turns off, so
 * they are reached by reflection, here and nowhere else.
 */
final class HangUpSignal {

    private HangUpSignal() { }

    /**
     * From now on runs the action at each SIGHUP, on a thread of the JVM's. A JVM that was started with the
     * signal ignored, as under nohup, leaves it so without an error and never calls the action; there is no
     * undoing that in the process, so the command that starts it sets the signal back.
     *
     * @return false where the signal cannot be had: then it keeps its effect
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
