package org.waxwingbeam.tools.measure.versions;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.version.CanaryTargets;
import org.waxwingbeam.target.version.MoveSupervisor;

/** A model of one service: the targets of both versions, and the counts of its version move. */
final class ModelService {
  static final VersionName OLD = new VersionName("v1");
  static final VersionName NEW = new VersionName("v2");
  static final List<RouteName> ROUTES =
      List.of(new RouteName("list"), new RouteName("price"), new RouteName("label"));
  static final double[] ROUTE_SHARES = {0.7, 0.29, 0.01};
  static final int RARE_ROUTE = 2;
  static final int TARGETS = 15;

  private static final long ROTATION_MS = 100;

  final ServiceName name;
  final VersionFault fault;
  final List<ModelTarget> oldTargets;
  final List<ModelTarget> newTargets;
  MoveSupervisor supervisor;
  long requests;
  long newRequests;
  long requestsUntilLastNewRequest;
  double unprovenExcess;
  long callerErrors;
  double firstFaultMs = Double.NaN;
  double lastNewRequestMs = Double.NaN;
  double fullShareMs = Double.NaN;
  private int canarySharePerMille = -1;
  private long canaryRotation;
  private List<ModelTarget> canaryTargets = List.of();

  ModelService(
      ServiceName name, int number, VersionFault fault, int dataCentres, SplittableRandom random) {
    this.name = name;
    this.fault = fault;
    this.oldTargets = targets(number, false, dataCentres, random);
    this.newTargets = targets(number, true, dataCentres, random);
  }

  private static List<ModelTarget> targets(
      int number, boolean newVersion, int dataCentres, SplittableRandom random) {
    String host = "10.0.%d.%d".formatted(number, newVersion ? 2 : 1);
    return IntStream.range(0, TARGETS)
        .mapToObj(
            index ->
                new ModelTarget(
                    new TargetId(host, 9000 + index),
                    index % dataCentres,
                    newVersion,
                    random.split()))
        .toList();
  }

  /** Returns the targets of a version that receive requests in the given state of the move. */
  List<ModelTarget> targets(boolean newVersion, VersionMove move, long nowMs) {
    if (!newVersion) {
      return oldTargets;
    }
    if (move.state() != VersionMove.State.RUNNING) {
      return newTargets;
    }
    long rotation = nowMs / ROTATION_MS;
    if (canarySharePerMille != move.sharePerMille() || canaryRotation != rotation) {
      canarySharePerMille = move.sharePerMille();
      canaryRotation = rotation;
      canaryTargets = canaryTargets(move, nowMs);
    }
    return canaryTargets;
  }

  /** Takes the targets of a data centre out of service. */
  void takeDataCentreOut(int dataCentre) {
    canarySharePerMille = -1;
    Stream.concat(oldTargets.stream(), newTargets.stream())
        .filter(each -> each.dataCentre == dataCentre)
        .forEach(each -> each.outOfService = true);
  }

  private List<ModelTarget> canaryTargets(VersionMove move, long nowMs) {
    List<ModelTarget> usable = newTargets.stream().filter(each -> !each.outOfService).toList();
    List<TargetId> ids = usable.stream().map(each -> each.id).toList();
    boolean warmingUp = usable.stream().anyMatch(each -> each.isCold((double) nowMs));
    Set<TargetId> chosen =
        Set.copyOf(
            CanaryTargets.limit(ids, move.sharePerMille(), move.startMs(), warmingUp, nowMs));
    return usable.stream().filter(each -> chosen.contains(each.id)).toList();
  }

  void recordNewRequest(double nowMs) {
    newRequests++;
    requestsUntilLastNewRequest = requests;
    lastNewRequestMs = nowMs;
  }

  void recordFault(double nowMs) {
    if (Double.isNaN(firstFaultMs)) {
      firstFaultMs = nowMs;
    }
  }
}
