package org.waxwingbeam.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Handles the process signals. The first stop signal requests a graceful shutdown, every further
 * one an immediate stop. A shutdown hook could not do this, because the JVM ignores signals while
 * its hooks run.
 *
 * <pre>{@code
 * StopSignals.install(stopRequested::countDown, daemon::stopNow);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class StopSignals {
  private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");
  private static final String HANG_UP = "HUP";

  private StopSignals() {}

  /**
   * Installs the handlers of the stop signals.
   *
   * @param first run at the first signal
   * @param further run at every further signal
   * @throws ReflectiveOperationException if the JVM does not support signal handlers
   */
  public static void install(Runnable first, Runnable further) throws ReflectiveOperationException {
    AtomicBoolean stopRequested = new AtomicBoolean();
    handle(STOP_SIGNALS, () -> (stopRequested.compareAndSet(false, true) ? first : further).run());
  }

  /**
   * Installs the handler of the hang-up signal, which reports that the settings have changed.
   * Without a handler, that signal ends the JVM.
   *
   * @param reload run at each signal
   * @throws ReflectiveOperationException if the JVM does not support signal handlers
   */
  public static void onHangUp(Runnable reload) throws ReflectiveOperationException {
    handle(List.of(HANG_UP), reload);
  }

  private static void handle(List<String> names, Runnable onSignal)
      throws ReflectiveOperationException {
    // Reflection, because the compiler warns of any direct use of the class.
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    InvocationHandler receiver =
        (proxy, method, arguments) -> {
          if (method.getName().equals("handle")) {
            onSignal.run();
          }
          return null;
        };
    Object proxy =
        Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, receiver);
    for (String name : names) {
      Object each = signal.getConstructor(String.class).newInstance(name);
      signal.getMethod("handle", signal, handler).invoke(null, each, proxy);
    }
  }
}
