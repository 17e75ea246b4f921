package org.waxwingbeam.control;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.replica.CommandLog;
import org.waxwingbeam.replica.CommandResult;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.control.AcceptedChange;
import org.waxwingbeam.wire.control.ClaimCall;
import org.waxwingbeam.wire.control.ClaimReply;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryHello;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.control.EntryMessage;
import org.waxwingbeam.wire.control.EntryView;
import org.waxwingbeam.wire.control.Heartbeat;
import org.waxwingbeam.wire.control.Lease;
import org.waxwingbeam.wire.control.NotLeader;
import org.waxwingbeam.wire.replica.ChangeEntryView;
import org.waxwingbeam.wire.replica.ClaimBatch;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.versions.Evidence;

/**
 * Serves the connected entry instances at a control replica: sends them accepted changes and entry
 * views, responds to heartbeats with leases, and proposes their claims to the log.
 *
 * <pre>{@code
 * EntrySessions sessions = new EntrySessions(state, log, registry, token, redirect, wallMs);
 * EntrySessions.Session session = sessions.open(connection);
 * session.receive(System.nanoTime(), message);
 * sessions.publish();
 * }</pre>
 *
 * @since 0.1.0
 */
public final class EntrySessions {
  private final ReplicatedState state;
  private final CommandLog log;
  private final EntryRegistry registry;
  private final byte[] token;
  private final Supplier<NotLeader> redirect;
  private final LongSupplier wallMs;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private boolean viewChangeProposed;
  private Consumer<Evidence> sampleReceiver = message -> {};

  /**
   * Creates the service.
   *
   * @param state the replicated state
   * @param log the log to which claims and changes of the entry view are proposed
   * @param registry tracks the entry instances while this replica leads
   * @param token the credential of the system's own processes
   * @param redirect supplies the leader's address while this replica does not lead
   * @param wallMs supplies the current time in milliseconds since the epoch
   */
  public EntrySessions(
      ReplicatedState state,
      CommandLog log,
      EntryRegistry registry,
      String token,
      Supplier<NotLeader> redirect,
      LongSupplier wallMs) {
    this.state = state;
    this.log = log;
    this.registry = registry;
    this.token = token.getBytes(StandardCharsets.UTF_8);
    this.redirect = redirect;
    this.wallMs = wallMs;
  }

  /** Sets the receiver of the canary samples of version moves. */
  public EntrySessions onSamples(Consumer<Evidence> receiver) {
    sampleReceiver = receiver;
    return this;
  }

  /** The connection of one entry instance. */
  public interface Connection {
    /** Sends a message to the entry instance. */
    void send(ControlMessage message);

    /** Closes the connection after the messages sent before. */
    void close();
  }

  /** Opens a session for a connection, whose first message must be a hello with the right token. */
  public Session open(Connection connection) {
    return new Session(connection);
  }

  /** Sends the newest accepted changes and the newest entry view to the sessions that lack them. */
  public void publish() {
    sessions.forEach(Session::sendUpdates);
  }

  /**
   * Proposes a change of the entry view if entry instances have connected or their leases have
   * expired. Redirects all sessions if this replica does not hold the leader lease.
   *
   * @param nowNanos the current time
   */
  public void tick(long nowNanos) {
    if (!log.holdsLeaderLease(nowNanos)) {
      List.copyOf(sessions).forEach(Session::redirect);
      return;
    }
    ChangeEntryView change = registry.viewChange(nowNanos, state.entryView());
    boolean needed = change.getPutCount() + change.getRemoveCount() > 0;
    if (needed && !viewChangeProposed) {
      viewChangeProposed = true;
      log.propose(
          Command.newBuilder().setChangeEntryView(change).build(),
          outcome -> viewChangeProposed = false);
      change.getRemoveList().forEach(this::proposeEntryGone);
    }
    registry.expire(nowNanos);
  }

  /** Proposes to mark the outcome of all running claims of a lost entry instance as unknown. */
  private void proposeEntryGone(String entry) {
    ClaimBatch batch =
        ClaimBatch.newBuilder()
            .addCommands(ClaimCodec.encodeEntryGone(new InstanceName(entry)))
            .setProposedMs(wallMs.getAsLong())
            .build();
    log.propose(Command.newBuilder().setClaims(batch).build(), outcome -> {});
  }

  /** Returns the number of connected entry instances. */
  public int sessionCount() {
    return sessions.size();
  }

  private boolean isCurrentMember(EntryMember member) {
    return state.entryView().getMembersList().contains(member);
  }

  /** The session of one connected entry instance. */
  public final class Session {
    private final Connection connection;
    private EntryMember member = EntryMember.getDefaultInstance();
    private boolean authenticated;
    private long sentConfigurationNumber;
    private long sentViewNumber;

    private Session(Connection connection) {
      this.connection = connection;
    }

    /**
     * Handles a message of the entry instance.
     *
     * @param nowNanos the time of receipt
     */
    public void receive(long nowNanos, EntryMessage message) {
      if (!authenticated && !message.hasHello()) {
        connection.close();
        return;
      }
      switch (message.getKindCase()) {
        case HELLO -> receiveHello(nowNanos, message.getHello());
        case HEARTBEAT -> handleHeartbeat(nowNanos, message.getHeartbeat());
        case CLAIM -> proposeClaim(message.getClaim());
        case EVIDENCE -> sampleReceiver.accept(message.getEvidence());
        default -> connection.close();
      }
    }

    /** Removes the session; called after its connection was closed. */
    public void onClosed() {
      sessions.remove(this);
    }

    private void receiveHello(long nowNanos, EntryHello hello) {
      if (!MessageDigest.isEqual(token, hello.getToken().getBytes(StandardCharsets.UTF_8))) {
        connection.close();
        return;
      }
      authenticated = true;
      member = hello.getMember();
      sentConfigurationNumber = hello.getAppliedNumber();
      sentViewNumber = hello.getViewNumber();
      if (!log.holdsLeaderLease(nowNanos)) {
        redirect();
        return;
      }
      sessions.add(this);
      registry.recordHeartbeat(nowNanos, member, sentConfigurationNumber, sentViewNumber);
      tick(nowNanos);
      sendUpdates();
    }

    private void handleHeartbeat(long nowNanos, Heartbeat heartbeat) {
      if (!log.holdsLeaderLease(nowNanos)) {
        redirect();
        return;
      }
      registry.recordHeartbeat(
          nowNanos, member, heartbeat.getAppliedNumber(), heartbeat.getViewNumber());
      tick(nowNanos);
      if (isCurrentMember(member)) {
        send(ControlMessage.newBuilder().setLease(lease(nowNanos, heartbeat)));
      }
    }

    private Lease lease(long nowNanos, Heartbeat heartbeat) {
      long viewNumber = state.entryView().getNumber();
      return Lease.newBuilder()
          .setSequence(heartbeat.getSequence())
          .setDurationMs((int) EntryRegistry.LEASE_MS)
          .setNewestNumber(state.configuration().number())
          .setViewNumber(viewNumber)
          .setSettledViewNumber(registry.confirmedView(nowNanos, viewNumber))
          .build();
    }

    private void proposeClaim(ClaimCall call) {
      ClaimBatch batch =
          ClaimBatch.newBuilder()
              .addCommands(call.getCommand())
              .setProposedMs(wallMs.getAsLong())
              .build();
      log.propose(
          Command.newBuilder().setClaims(batch).build(),
          outcome -> sendClaimReply(call.getSequence(), outcome));
    }

    private void sendClaimReply(long sequence, ProposalOutcome outcome) {
      ClaimReply.Builder reply = ClaimReply.newBuilder().setSequence(sequence);
      if (outcome instanceof ProposalOutcome.Applied(CommandResult.Claims claims)) {
        ByteString tableReply = claims.answers().getFirst();
        reply.setApplied(true).setAnswer(tableReply);
      }
      send(ControlMessage.newBuilder().setClaim(reply));
    }

    private void redirect() {
      send(ControlMessage.newBuilder().setNotLeader(redirect.get()));
      sessions.remove(this);
      connection.close();
    }

    private void sendUpdates() {
      sendConfiguration();
      EntryView view = state.entryView();
      if (view.getNumber() > sentViewNumber) {
        send(ControlMessage.newBuilder().setView(view));
        sentViewNumber = view.getNumber();
      }
    }

    private void sendConfiguration() {
      long newest = state.configuration().number();
      if (newest <= sentConfigurationNumber) {
        return;
      }
      List<AcceptedChange> changes = new ArrayList<>(state.changesAfter(sentConfigurationNumber));
      if (changes.isEmpty()) {
        send(ControlMessage.newBuilder().setConfiguration(state.configurationMessage()));
      }
      changes.forEach(change -> send(ControlMessage.newBuilder().setChange(change)));
      sentConfigurationNumber = newest;
    }

    private void send(ControlMessage.Builder message) {
      connection.send(message.build());
    }
  }
}
