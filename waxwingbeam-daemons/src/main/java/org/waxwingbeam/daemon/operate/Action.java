package org.waxwingbeam.daemon.operate;

import java.util.Optional;
import org.waxwingbeam.operator.Change;

/** The action that an operator's command line requests. */
sealed interface Action {
  /** Submits a configuration change. */
  record Submit(Change change) implements Action {}

  /** Replaces a voter by a learner, both given by replica id. */
  record ReplaceReplica(String oldId, String newId) implements Action {}

  /** Shows a part of the configuration, or the one item with the given name. */
  record ShowConfiguration(Part part, Optional<String> name) implements Action {}

  /** Shows the replicas and the entry instances. */
  record ShowStatus() implements Action {}

  /** Shows the control replicas. */
  record ShowReplicas() implements Action {}

  /** Shows the accepted changes, starting with the given number. */
  record ShowHistory(long from) implements Action {}

  /** A part of the configuration that can be shown. */
  enum Part {
    /** The templates. */
    TEMPLATES,
    /** The client accounts. */
    ACCOUNTS,
    /** The data centres that are out of service. */
    DATA_CENTRES,
    /** The version moves. */
    MOVES
  }
}
