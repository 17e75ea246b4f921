/**
 * Replicates the state of the control replicas: the Raft log, its journal on disk, its membership,
 * and the state machine that applies its commands.
 */
package org.waxwingbeam.replica;
