package org.waxwingbeam.tools.measure.versions;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.operator.ConfigurationEditor;
import org.waxwingbeam.operator.EditResult;
import org.waxwingbeam.target.version.CanaryAnalysis;
import org.waxwingbeam.target.version.MoveDecision;
import org.waxwingbeam.target.version.MoveParameters;
import org.waxwingbeam.target.version.MoveSupervisor;
import org.waxwingbeam.target.version.SampleReport;

/** A model of the control leader: the real supervisor and editor, link delays and failover. */
final class ModelLeader {
  static final MoveParameters MOVE_PARAMETERS = new MoveParameters(50, MoveModel.SOAK_MS, false);

  private static final double LEASE_RENEWAL_MS = 500;
  private static final double MIN_LINK_DELAY_MS = 2;
  private static final double MAX_LINK_DELAY_MS = 20;
  private static final double MIN_ACCEPT_DELAY_MS = 5;
  private static final double MAX_ACCEPT_DELAY_MS = 30;

  private final EventQueue events;
  private final SplittableRandom random;
  private final List<ModelService> services;
  private List<ModelEntry> entries = List.of();
  private Configuration configuration;
  private double downUntilMs;

  ModelLeader(EventQueue events, SplittableRandom random, List<ModelService> services) {
    this.events = events;
    this.random = random;
    this.services = services;
    TreeMap<TemplateName, Template> templates = new TreeMap<>();
    services.forEach(
        service -> {
          TemplateName name = new TemplateName(service.name.value());
          templates.put(name, template(name, service));
        });
    configuration =
        new Configuration(1, templates, new TreeMap<>(), new TreeSet<>(), new TreeMap<>());
    services.forEach(
        service ->
            applyChange(
                new Change.MoveVersion(
                    service.name,
                    Optional.of(ModelService.OLD),
                    ModelService.NEW,
                    MoveModel.DEADLINE_MS)));
    services.forEach(this::startSupervisor);
  }

  Configuration configuration() {
    return configuration;
  }

  void setEntries(List<ModelEntry> all) {
    entries = all;
  }

  void start() {
    events.scheduleEvery(CanaryAnalysis.TICK_MS, this::tick);
    events.scheduleEvery(LEASE_RENEWAL_MS, this::renewLeases);
  }

  /**
   * Kills the leader; after the downtime another one takes over, which knows accepted state only.
   */
  void kill(double downMs) {
    downUntilMs = events.nowMs() + downMs;
    events.schedule(
        downMs,
        () -> {
          services.forEach(this::startSupervisor);
          entries.forEach(entry -> entry.recorder.resendAll());
        });
  }

  /** Sends an entry instance's reports to the leader. */
  void sendReports(ModelEntry entry, List<SampleReport> reports) {
    if (reports.isEmpty() || !entry.isConnected(events.nowMs())) {
      return;
    }
    events.schedule(linkDelayMs(), () -> reports.forEach(this::receive));
  }

  private void receive(SampleReport report) {
    if (isAlive()) {
      services.stream()
          .filter(service -> service.name.equals(report.service()))
          .forEach(service -> service.supervisor.addReport((long) events.nowMs(), report));
    }
  }

  private void tick() {
    if (isAlive()) {
      services.forEach(this::decide);
    }
  }

  private void decide(ModelService service) {
    long now = (long) events.nowMs();
    VersionMove move = configuration.moves().get(service.name);
    switch (service.supervisor.tick(now, move, entries.size())) {
      case MoveDecision.NoChange noChange -> {}
      case MoveDecision.Advance advance ->
          propose(
              service,
              new Change.AdvanceMove(
                  service.name, ModelService.NEW, advance.sharePerMille(), advance.state()));
      case MoveDecision.RollBack rollBack ->
          propose(service, new Change.RollBackMove(service.name, rollBack.reason()));
    }
  }

  private void propose(ModelService service, Change change) {
    events.schedule(
        random.nextDouble(MIN_ACCEPT_DELAY_MS, MAX_ACCEPT_DELAY_MS),
        () -> {
          if (isAlive()) {
            applyChange(change);
            recordFullShare(service);
            renewLeases();
          }
        });
  }

  private void recordFullShare(ModelService service) {
    boolean atFullShare =
        configuration.moves().get(service.name).state() == VersionMove.State.SOAKING;
    if (atFullShare && Double.isNaN(service.fullShareMs)) {
      service.fullShareMs = events.nowMs();
    }
  }

  private void applyChange(Change change) {
    EditResult result = ConfigurationEditor.apply(configuration, change, (long) events.nowMs());
    if (result instanceof EditResult.Accepted accepted) {
      configuration = accepted.configuration();
    }
  }

  private void renewLeases() {
    if (!isAlive()) {
      return;
    }
    Configuration latest = configuration;
    for (ModelEntry entry : entries) {
      if (entry.isConnected(events.nowMs())) {
        events.schedule(linkDelayMs(), () -> deliver(entry, latest));
      }
    }
  }

  private void deliver(ModelEntry entry, Configuration latest) {
    entry.apply(latest);
    entry.selector.onLeaseRenewed((long) (events.nowMs() * 1_000_000));
  }

  private boolean isAlive() {
    return events.nowMs() >= downUntilMs;
  }

  private double linkDelayMs() {
    return random.nextDouble(MIN_LINK_DELAY_MS, MAX_LINK_DELAY_MS);
  }

  private void startSupervisor(ModelService service) {
    VersionMove move = configuration.moves().get(service.name);
    service.supervisor = new MoveSupervisor(move, MOVE_PARAMETERS, (long) events.nowMs());
  }

  private static Template template(TemplateName name, ModelService service) {
    return new Template(
        name,
        service.name,
        "{account}." + service.name + ".example",
        List.of(),
        Parameters.NONE.with(Parameter.SOAK, MoveModel.SOAK_MS));
  }
}
