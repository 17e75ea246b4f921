/** Holds what an entry instance learns from the control replicas. */
package org.waxwingbeam.control;
