/** Connects to targets and takes their announcements. */
package org.waxwingbeam.target.net;
