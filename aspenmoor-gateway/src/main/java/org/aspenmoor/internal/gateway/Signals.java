package org.aspenmoor.internal.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.aspenmoor.AspenmoorException;

/**
 * Handlers for the signals of an entry process.
 *
 * <p>The Java runtime terminates a process on SIGHUP unless a handler is installed. The only interface for installing
 * one is an internal class for which the compiler issues a warning, so it is accessed by reflection.
 */
public final class Signals {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private Signals() {}

    /** Runs the action on SIGTERM. */
    public static void onTerminate(Runnable action) throws AspenmoorException {
        installHandler("TERM", action);
    }

    /** Runs the action on SIGHUP, which requests that the settings are read again. */
    public static void onReload(Runnable action) throws AspenmoorException {
        installHandler("HUP", action);
    }

    private static void installHandler(String name, Runnable action) throws AspenmoorException {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            InvocationHandler invocationHandler = (proxy, method, arguments) -> {
                action.run();
                return null;
            };
            Object handler = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handlerClass}, invocationHandler);
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException cause) {
            throw new AspenmoorException(
                    "The Java runtime cannot handle the signal " + name + ".",
                    SIGNAL_CLASS,
                    "Run with a JDK that has the module jdk.unsupported.",
                    cause);
        }
    }
}
