/** Holds the connections to targets and the listener for their announcements. */
package org.waxwingbeam.target.net;
