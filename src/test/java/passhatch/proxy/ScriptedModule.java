package passhatch.proxy;

import java.lang.reflect.Proxy;
import java.util.function.BiConsumer;
import passhatch.Balancer;

/** Creates decision modules whose reactions a test scripts. */
final class ScriptedModule {

    private ScriptedModule() { }

    /**
     * A module that passes each event to a handler. It allows each attempt to be sent, and answers any other
     * query with false or null.
     *
     * @param eventHandler takes the name of the method called and its arguments
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
