/** Connections and datagrams between entry instances. */
package org.waxwingbeam.peer.net;
