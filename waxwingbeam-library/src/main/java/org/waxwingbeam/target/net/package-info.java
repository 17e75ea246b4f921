/**
 * Network I/O with targets: pooled connections for requests and status checks, and the server that
 * receives announcements.
 */
package org.waxwingbeam.target.net;
