package org.waxwingbeam.caller;

/**
 * Finds the route of a request.
 *
 * @since 0.1.0
 */
public interface RequestRouter {
  /**
   * Classifies a request.
   *
   * @param method in upper case
   * @param host the value of the Host header, possibly with a port; may be null
   * @param uri the request target as received
   */
  Classification classify(String method, String host, String uri);

  /** Returns the version of the configuration by which requests are classified now, 0 if none. */
  long version();
}
