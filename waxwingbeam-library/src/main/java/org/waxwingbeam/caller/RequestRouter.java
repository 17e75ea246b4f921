package org.waxwingbeam.caller;

/**
 * Finds out where a request belongs.
 *
 * @since 0.1.0
 */
public interface RequestRouter {
  /**
   * Classifies a request.
   *
   * @param method in upper case
   * @param host the value of the Host header, possibly with a port; may be null
   * @param uri the request's target as it was received
   */
  Classification classify(String method, String host, String uri);
}
