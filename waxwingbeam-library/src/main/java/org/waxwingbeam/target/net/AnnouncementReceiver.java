package org.waxwingbeam.target.net;

import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetRegistry;

/**
 * Receives the announcements that targets post.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface AnnouncementReceiver {
  /**
   * Processes one announcement. Called on any thread.
   *
   * @param announcement the announcement of the target
   * @return whether the announcement was new, known or outdated
   */
  TargetRegistry.AnnounceResult announce(TargetAnnouncement announcement);
}
