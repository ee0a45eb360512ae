package msg

import "reflect"

// PeerTypes returns the peer messages in the order of their numbers on the
// wire. New ones are appended.
func PeerTypes() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[ConfigQuery](), reflect.TypeFor[ConfigHeld](),
		reflect.TypeFor[ConfigFetch](), reflect.TypeFor[ConfigBody](),
		reflect.TypeFor[LeaseReleased](),
		reflect.TypeFor[ExchangePoll](), reflect.TypeFor[ExchangeReply](),
		reflect.TypeFor[CrashNotice](),
		reflect.TypeFor[LoadDigest](), reflect.TypeFor[RunCounts](),
		reflect.TypeFor[WorkSent](),
	}
}

// EventTypes returns the events in the order of their numbers in recordings.
// New ones are appended.
func EventTypes() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[Started](), reflect.TypeFor[Tick](), reflect.TypeFor[StopRequested](),
		reflect.TypeFor[ConfigChanged](), reflect.TypeFor[ConfigFresh](),
		reflect.TypeFor[GetDone](), reflect.TypeFor[ListDone](), reflect.TypeFor[PutDone](),
		reflect.TypeFor[WatchDone](), reflect.TypeFor[HostsListed](),
		reflect.TypeFor[LeaseWanted](), reflect.TypeFor[LeaseChanged](), reflect.TypeFor[LeaseSeen](),
		reflect.TypeFor[PeerReceived](), reflect.TypeFor[ShareState](), reflect.TypeFor[SharedState](),
		reflect.TypeFor[MembersChanged](),
		reflect.TypeFor[RequestArrived](), reflect.TypeFor[CallerGone](), reflect.TypeFor[AttemptAccepted](),
		reflect.TypeFor[AttemptProgress](), reflect.TypeFor[AttemptEnded](), reflect.TypeFor[ClaimWanted](),
		reflect.TypeFor[ClaimSettled](), reflect.TypeFor[RequestEnded](), reflect.TypeFor[UsageCounted](),
		reflect.TypeFor[TargetReported](), reflect.TypeFor[TargetLost](), reflect.TypeFor[CacheReported](),
		reflect.TypeFor[OrderAnswered](), reflect.TypeFor[TargetOrderDone](), reflect.TypeFor[TargetsListed](),
		reflect.TypeFor[AttemptOffered](), reflect.TypeFor[AttemptClosed](), reflect.TypeFor[EntryLost](),
		reflect.TypeFor[OrderReceived](), reflect.TypeFor[OrderApplied](), reflect.TypeFor[TargetRead](),
		reflect.TypeFor[TargetCrashed](), reflect.TypeFor[UsageReported](),
		reflect.TypeFor[PeerUp](), reflect.TypeFor[PeerDown](),
		reflect.TypeFor[ConfigProposed](), reflect.TypeFor[DrainRequested](),
		reflect.TypeFor[ConfigKnown](), reflect.TypeFor[ConfigHeard](), reflect.TypeFor[HostsHeard](),
		reflect.TypeFor[AttemptTaken](),
		reflect.TypeFor[RoutesRead](), reflect.TypeFor[InstancesRead](), reflect.TypeFor[RoutesChanged](),
		reflect.TypeFor[RoutesFresh](), reflect.TypeFor[InstancesChanged](), reflect.TypeFor[DirectArrived](),
		reflect.TypeFor[DirectBegan](), reflect.TypeFor[DirectEnded](), reflect.TypeFor[WindowReported](),
		reflect.TypeFor[RunCounted](), reflect.TypeFor[LimitsChanged](),
		reflect.TypeFor[DemandSeen](), reflect.TypeFor[RoleOrdered](), reflect.TypeFor[TargetChanging](),
		reflect.TypeFor[CacheRead](), reflect.TypeFor[DirectClosed](), reflect.TypeFor[FirstToken](),
	}
}

// EffectTypes returns the effects in the order of their numbers in
// recordings. New ones are appended.
func EffectTypes() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[StopReady](), reflect.TypeFor[LogLine](),
		reflect.TypeFor[GetObject](), reflect.TypeFor[ListObjects](), reflect.TypeFor[PutObject](),
		reflect.TypeFor[DeleteObject](), reflect.TypeFor[WatchObjects](), reflect.TypeFor[ListHosts](),
		reflect.TypeFor[SendPeer](),
		reflect.TypeFor[RefuseRequest](), reflect.TypeFor[AbortRequest](), reflect.TypeFor[ReplayAnswer](),
		reflect.TypeFor[StartAttempt](), reflect.TypeFor[CancelAttempt](), reflect.TypeFor[FinishRequest](),
		reflect.TypeFor[SendOrder](), reflect.TypeFor[OrderTarget](), reflect.TypeFor[WithdrawTarget](),
		reflect.TypeFor[ListTargets](),
		reflect.TypeFor[RunAttempt](), reflect.TypeFor[RefuseAttempt](), reflect.TypeFor[StopAttempt](),
		reflect.TypeFor[AnswerOrder](), reflect.TypeFor[ApplyOrder](), reflect.TypeFor[ReadTarget](),
		reflect.TypeFor[PublishReport](), reflect.TypeFor[ReportUsage](),
		reflect.TypeFor[Connect](), reflect.TypeFor[Disconnect](),
		reflect.TypeFor[ConfigAnswered](), reflect.TypeFor[DrainAnswered](),
		reflect.TypeFor[Locate](),
		reflect.TypeFor[ReadRoutes](), reflect.TypeFor[ReadInstances](), reflect.TypeFor[StartDirect](),
		reflect.TypeFor[PassAnswer](), reflect.TypeFor[FreeHandle](), reflect.TypeFor[SetReady](),
		reflect.TypeFor[ReportWindow](), reflect.TypeFor[OrderRole](),
		reflect.TypeFor[ReadCache](), reflect.TypeFor[SetCallerLimits](),
	}
}
