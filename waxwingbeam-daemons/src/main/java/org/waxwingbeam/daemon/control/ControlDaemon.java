package org.waxwingbeam.daemon.control;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.waxwingbeam.control.EntryRegistry;
import org.waxwingbeam.control.EntrySessions;
import org.waxwingbeam.control.net.EntryStreamServer;
import org.waxwingbeam.daemon.TokenFile;
import org.waxwingbeam.operator.OperatorService;
import org.waxwingbeam.operator.OperatorService.ChangeOutcome;
import org.waxwingbeam.operator.net.OperatorOperations;
import org.waxwingbeam.operator.net.OperatorServer;
import org.waxwingbeam.replica.ClaimMachine;
import org.waxwingbeam.replica.LocalLog;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.settings.ControlSettings;
import org.waxwingbeam.wire.configuration.Configuration;
import org.waxwingbeam.wire.control.NotLeader;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.History;
import org.waxwingbeam.wire.operator.InForce;
import org.waxwingbeam.wire.operator.ReplaceReplica;
import org.waxwingbeam.wire.operator.Status;

/**
 * Runs one control replica: serves entry instances and operators on one event loop.
 *
 * <pre>{@code
 * try (ControlDaemon daemon = ControlDaemon.start(settings, claims)) {
 *   daemon.awaitEnd();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ControlDaemon implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ControlDaemon.class);
  private static final long TICK_MS = 50;

  private final EventLoopGroup group;
  private final ReplicatedState state;
  private final LocalLog log;
  private final EntryRegistry registry = new EntryRegistry();
  private final EntrySessions sessions;
  private final OperatorService operators;
  private final ControlSettings settings;
  private final EntryStreamServer entryServer;
  private final OperatorServer operatorServer;

  private ControlDaemon(
      ControlSettings settings, ClaimMachine claims, String token, String operatorToken) {
    this.settings = settings;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    state = new ReplicatedState(claims);
    log = new LocalLog(state, this::applied);
    sessions =
        new EntrySessions(
            state, log, registry, token, NotLeader::getDefaultInstance, System::currentTimeMillis);
    operators = new OperatorService(state, log, registry, System::currentTimeMillis);
    entryServer = new EntryStreamServer(group, settings.entries(), sessions);
    operatorServer =
        new OperatorServer(group, settings.operators(), operatorToken, new Operations());
  }

  /**
   * Starts a replica.
   *
   * @param settings its settings
   * @param claims the claim table
   * @throws IOException if a credential cannot be read
   */
  public static ControlDaemon start(ControlSettings settings, ClaimMachine claims)
      throws IOException {
    String token = TokenFile.read(settings.tokenFile());
    String operatorToken = TokenFile.read(settings.operatorTokenFile());
    ControlDaemon daemon = new ControlDaemon(settings, claims, token, operatorToken);
    daemon.run();
    return daemon;
  }

  private void run() {
    EventLoop loop = group.next();
    loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        .addListener(this::ticksEnded);
    LOG.infof(
        "event=control-started instance=%s state=memory entries=%d operators=%d",
        settings.instance(), entryServer.port(), operatorServer.port());
  }

  private void tick() {
    long now = System.nanoTime();
    sessions.tick(now);
    operators.tick(now);
  }

  private void ticksEnded(Future<?> ticks) {
    if (ticks.cause() != null && !ticks.isCancelled()) {
      LOG.errorf(ticks.cause(), "event=control-failed instance=%s", settings.instance());
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(done -> {});
    }
  }

  private void applied() {
    sessions.publish();
  }

  /** Returns the port for entry instances. */
  public int entriesPort() {
    return entryServer.port();
  }

  /** Returns the port for operators. */
  public int operatorsPort() {
    return operatorServer.port();
  }

  /** Waits until the replica has stopped. */
  public void awaitEnd() throws InterruptedException {
    group.terminationFuture().sync();
  }

  @Override
  public void close() {
    operatorServer.close();
    entryServer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Answers operators from the state of this replica. */
  private final class Operations implements OperatorOperations {
    @Override
    public void change(ChangeRequest request, Consumer<ChangeOutcome> receiver) {
      operators.change(request, receiver);
    }

    @Override
    public void replaceReplica(ReplaceReplica request, Consumer<ChangeOutcome> receiver) {
      receiver.accept(
          new ChangeOutcome.Answered(
              ChangeAnswer.newBuilder()
                  .setResult(ChangeAnswer.Result.REFUSED)
                  .addReasons("replica '%s': expected a learner".formatted(request.getNewId()))
                  .build()));
    }

    @Override
    public Optional<Configuration> configuration() {
      return Optional.of(operators.configuration());
    }

    @Override
    public Optional<History> history(long fromNumber) {
      return Optional.of(operators.history(System.nanoTime(), fromNumber));
    }

    @Override
    public Optional<InForce> inForce(long number) {
      return Optional.of(operators.inForce(System.nanoTime(), number));
    }

    @Override
    public Status status() {
      return Status.newBuilder()
          .setReplica(settings.instance().value())
          .setRole("leader")
          .setLeader(settings.instance().value())
          .setConfigurationNumber(state.configuration().number())
          .addAllEntries(registry.statuses(System.nanoTime()))
          .build();
    }
  }
}
