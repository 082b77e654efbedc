package org.aspenmoor.internal.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.aspenmoor.AspenmoorException;

/**
 * The signals that a process of an entry answers to.
 *
 * <p>The runtime ends a process at SIGHUP unless a handler is set, and its only interface for that is one that the
 * compiler warns of; so it is reached by name.
 */
public final class Signals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private Signals() {}

    /** Runs something when the process is asked to stop. */
    public static void onTerminate(Runnable action) throws AspenmoorException {
        handle("TERM", action);
    }

    /** Runs something when the process is asked to read its settings again. */
    public static void onReload(Runnable action) throws AspenmoorException {
        handle("HUP", action);
    }

    private static void handle(String name, Runnable action) throws AspenmoorException {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            InvocationHandler runs = (proxy, method, arguments) -> {
                action.run();
                return null;
            };
            Object handler =
                    Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handlerClass}, runs);
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException missing) {
            throw new AspenmoorException(
                    "The runtime offers no way to handle the signal " + name + ".",
                    SIGNAL_CLASS,
                    "Run with a JDK that has the module jdk.unsupported.",
                    missing);
        }
    }
}
