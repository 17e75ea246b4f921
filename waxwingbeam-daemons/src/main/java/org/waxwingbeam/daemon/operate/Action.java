package org.waxwingbeam.daemon.operate;

import java.util.Optional;
import org.waxwingbeam.operator.Change;

/** What an operator asks for. */
sealed interface Action {
  /** Makes a change. */
  record Submit(Change change) implements Action {}

  /** Replaces a voter by a learner; both are replica ids. */
  record ReplaceReplica(String oldId, String newId) implements Action {}

  /** Shows a part of the configuration, one item of it if a name is given. */
  record ShowConfiguration(Part part, Optional<String> name) implements Action {}

  /** Shows the replicas and the entry instances. */
  record ShowStatus() implements Action {}

  /** Shows the control replicas. */
  record ShowReplicas() implements Action {}

  /** Shows the accepted changes from a number on. */
  record ShowHistory(long from) implements Action {}

  /** Names a part of the configuration. */
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
