package org.waxwingbeam.tools.sessions;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.caller.RetryBudget;
import org.waxwingbeam.caller.SuccessRatioBudget;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.readiness.EntryReadiness;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.target.DispatchSettings;
import org.waxwingbeam.target.EntryDispatcher;
import org.waxwingbeam.target.TargetRegistry;
import org.waxwingbeam.target.WarmupState;
import org.waxwingbeam.target.WarmupTable;
import org.waxwingbeam.target.version.VersionSelector;

/** The state and the decision logic of one entry instance, without its network. */
final class SessionEntry {
  private static final long SEED = 1;
  private static final long HANDOVER_NANOS = 2_000_000_000;

  private final InstanceName name;
  private final DataCentreName dataCentre;
  private final AppliedConfiguration applied = new AppliedConfiguration();
  private final TargetRegistry registry = new TargetRegistry();
  private final PoisonRequestDetector poison = new PoisonRequestDetector();
  private final RetryBudget budget = new SuccessRatioBudget();
  private final WarmupTable warmupStates;
  private final EntryDispatcher dispatcher;
  private boolean cutOff;
  private boolean stopping;

  SessionEntry(
      String name,
      String dataCentre,
      Supplier<LeasedEntryView> view,
      Consumer<WarmupState> onWarmupState) {
    warmupStates = new WarmupTable(onWarmupState);
    this.name = new InstanceName(name);
    this.dataCentre = new DataCentreName(dataCentre);
    dispatcher =
        new EntryDispatcher(
            new DispatchSettings(
                this.name,
                this.dataCentre,
                ChoicePolicy.named(ChoicePolicy.DEFAULT_NAME).orElseThrow(),
                HANDOVER_NANOS,
                SEED),
            registry,
            applied::current,
            view,
            VersionSelector.ANY,
            warmupStates);
  }

  InstanceName name() {
    return name;
  }

  DataCentreName dataCentre() {
    return dataCentre;
  }

  AppliedConfiguration applied() {
    return applied;
  }

  TargetRegistry registry() {
    return registry;
  }

  WarmupTable warmupStates() {
    return warmupStates;
  }

  PoisonRequestDetector poison() {
    return poison;
  }

  RetryBudget budget() {
    return budget;
  }

  EntryDispatcher dispatcher() {
    return dispatcher;
  }

  boolean isCutOff() {
    return cutOff;
  }

  void setCutOff(boolean value) {
    cutOff = value;
  }

  void stop() {
    stopping = true;
  }

  Optional<ErrorKind> refusal() {
    boolean out = applied.current().dataCentresOut().contains(dataCentre);
    return new EntryReadiness(stopping, applied.current().number() > 0, out, false).refusal();
  }
}
