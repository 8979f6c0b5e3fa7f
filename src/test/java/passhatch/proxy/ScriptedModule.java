package passhatch.proxy;

import java.lang.reflect.Proxy;
import java.util.function.BiConsumer;
import passhatch.Balancer;

/** A decision module of a test's own. */
final class ScriptedModule {

    private ScriptedModule() { }

    /**
     * A module that does with each event, by its name and arguments, what the test says. It never has
     * anything against what it sends.
     */
    static Balancer of(BiConsumer<String, Object[]> eventHandler) {
        return (Balancer) Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    eventHandler.accept(method.getName(), args);
                    return method.getReturnType() == boolean.class ? method.getName().equals("maySend")
                            : null;
                });
    }
}
