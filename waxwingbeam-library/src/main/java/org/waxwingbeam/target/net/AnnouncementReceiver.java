package org.waxwingbeam.target.net;

import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetRegistry;

/**
 * Takes the announcements that targets post.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface AnnouncementReceiver {
  /**
   * Takes one announcement. Called on any thread.
   *
   * @param announcement what the target says
   * @return what became of it
   */
  TargetRegistry.AnnounceResult announce(TargetAnnouncement announcement);
}
