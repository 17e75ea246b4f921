/** Simulates control replicas on a manual clock with a faulty network and faulty disks. */
package org.waxwingbeam.tools.testing.replica;
