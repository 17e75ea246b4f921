package org.waxwingbeam.tools.testing;

import java.util.ArrayList;
import java.util.List;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;

/**
 * A dispatcher that assigns a fixed list of targets in rotation, without limits.
 *
 * @since 0.1.0
 */
public final class RotatingDispatcher implements Dispatcher {
  private static final VersionName VERSION = new VersionName("v1");

  private final List<TargetId> targets;
  private final List<Completion> completions = new ArrayList<>();
  private int nextIndex;

  /** Creates a dispatcher that uses the targets for every service. */
  public RotatingDispatcher(List<TargetId> targets) {
    this.targets = List.copyOf(targets);
  }

  @Override
  public synchronized Decision request(long nowNanos, DispatchRequest request) {
    for (int i = 0; i < targets.size(); i++) {
      TargetId target = targets.get((nextIndex + i) % targets.size());
      if (!request.excluded().contains(target)) {
        nextIndex = nextIndex + i + 1;
        return new Decision.Assigned(request.attemptId(), target, VERSION);
      }
    }
    return new Decision.Refused(request.attemptId(), ErrorKind.NO_TARGET, 0);
  }

  @Override
  public synchronized List<Decision> complete(long nowNanos, Completion completion) {
    completions.add(completion);
    return List.of();
  }

  /** Returns the completions of all attempts so far. */
  public synchronized List<Completion> completions() {
    return List.copyOf(completions);
  }

  @Override
  public void cancel(long nowNanos, long attemptId) {}

  @Override
  public List<Decision> tick(long nowNanos) {
    return List.of();
  }
}
