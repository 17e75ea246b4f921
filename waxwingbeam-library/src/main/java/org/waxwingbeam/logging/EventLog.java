package org.waxwingbeam.logging;

import org.jboss.logging.Logger;

/**
 * Logs the events of one class, each as one line of key=value pairs.
 *
 * <pre>{@code
 * private static final EventLog LOG = new EventLog(TargetRegistry.class);
 *
 * LOG.info("target-announced", "service", service, "target", target, "state", state);
 * // event=target-announced service=listing target=10.0.0.7:8080 state=cold
 * }</pre>
 *
 * @since 0.1.0
 */
public final class EventLog {
  private final Logger logger;

  /**
   * Creates the log.
   *
   * @param owner the class whose events are logged
   */
  public EventLog(Class<?> owner) {
    logger = Logger.getLogger(owner);
  }

  /** Logs an event that needs no action. The pairs alternate between keys and values. */
  public void info(String event, Object... pairs) {
    if (logger.isInfoEnabled()) {
      logger.info(EventLine.format(event, pairs));
    }
  }

  /** Logs an event for debugging. The pairs alternate between keys and values. */
  public void debug(String event, Object... pairs) {
    if (logger.isDebugEnabled()) {
      logger.debug(EventLine.format(event, pairs));
    }
  }

  /**
   * Logs an event that operators should investigate. The pairs alternate between keys and values.
   */
  public void warn(String event, Object... pairs) {
    logger.warn(EventLine.format(event, pairs));
  }

  /** Logs a failure of this process. The pairs alternate between keys and values. */
  public void error(String event, Object... pairs) {
    logger.error(EventLine.format(event, pairs));
  }
}
