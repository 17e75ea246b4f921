package org.waxwingbeam.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Receives the signals that tell a process to end. The first asks for an orderly end, every further
 * one for a hurried end. A shutdown hook could not tell them apart, because the virtual machine
 * ignores signals while its hooks run.
 *
 * <pre>{@code
 * StopSignals.install(told::countDown, daemon::stopNow);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class StopSignals {
  private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");
  private static final String HANG_UP = "HUP";

  private StopSignals() {}

  /**
   * Begins to receive the signals.
   *
   * @param first run at the first signal
   * @param further run at every further signal
   * @throws ReflectiveOperationException if the virtual machine offers no signals
   */
  public static void install(Runnable first, Runnable further) throws ReflectiveOperationException {
    AtomicBoolean stopRequested = new AtomicBoolean();
    handle(STOP_SIGNALS, () -> (stopRequested.compareAndSet(false, true) ? first : further).run());
  }

  /**
   * Begins to receive the signal that says that the settings have changed. Without this, the
   * virtual machine ends at that signal.
   *
   * @param reload run at each signal
   * @throws ReflectiveOperationException if the virtual machine offers no signals
   */
  public static void onHangUp(Runnable reload) throws ReflectiveOperationException {
    handle(List.of(HANG_UP), reload);
  }

  private static void handle(List<String> names, Runnable onSignal)
      throws ReflectiveOperationException {
    // The class is reached by name, because the compiler warns of any direct use.
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
